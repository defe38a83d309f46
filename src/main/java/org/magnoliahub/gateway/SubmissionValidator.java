package org.magnoliahub.gateway;

import java.time.Duration;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.model.Outcome;
import org.magnoliahub.model.PipelineDefinition;
import org.magnoliahub.model.RefusalReason;
import org.magnoliahub.model.RequestClass;

/**
 * Validates submissions against the configuration.
 */
final class SubmissionValidator {

	private SubmissionValidator() {
	}

	/**
	 * Validates a submission.
	 * @param submission the submission
	 * @param configuration the current configuration
	 * @return the refusal, or {@code null} if the submission is valid
	 */
	static Outcome.@Nullable NotRun validate(Submission submission, Configuration configuration) {
		if (!configuration.workspaces().containsKey(submission.workspace())) {
			return invalidRequest("workspace '" + submission.workspace() + "' is not declared");
		}
		PipelineDefinition pipeline = configuration.pipelines().get(submission.pipeline());
		if (pipeline == null) {
			return invalidRequest("pipeline '" + submission.pipeline() + "' is not declared");
		}
		RequestClass requestClass = configuration.requestClasses().get(submission.requestClass());
		if (requestClass == null) {
			return invalidRequest("request class '" + submission.requestClass() + "' is not declared");
		}
		if (!requestClass.pipeline().equals(pipeline.name())) {
			return invalidRequest("request class '" + requestClass.name() + "' belongs to pipeline '"
					+ requestClass.pipeline() + "', not to '" + pipeline.name() + "'");
		}
		if (!pipeline.isIdempotent() && submission.idempotencyKey().isEmpty()) {
			return new Outcome.NotRun(RefusalReason.IDEMPOTENCY_KEY_REQUIRED,
					"pipeline '" + pipeline.name() + "' has a non-idempotent stage; send the header Idempotency-Key",
					Duration.ZERO);
		}
		int keyLength = submission.idempotencyKey().map(String::length).orElse(1);
		if (submission.idempotencyKey().filter(String::isBlank).isPresent()
				|| keyLength > Submission.MAXIMUM_KEY_LENGTH) {
			return invalidRequest(
					"the idempotency key must have 1 to " + Submission.MAXIMUM_KEY_LENGTH + " characters");
		}
		if (submission.budget().filter((budget) -> budget.isZero() || budget.isNegative()).isPresent()) {
			return new Outcome.NotRun(RefusalReason.DEADLINE_EXCEEDED, "the remaining time must be positive",
					Duration.ZERO);
		}
		return null;
	}

	private static Outcome.NotRun invalidRequest(String detail) {
		return new Outcome.NotRun(RefusalReason.INVALID_REQUEST, detail, Duration.ZERO);
	}

}
