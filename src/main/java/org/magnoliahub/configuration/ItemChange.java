package org.magnoliahub.configuration;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.model.PipelineDefinition;
import org.magnoliahub.model.RequestClass;
import org.magnoliahub.model.Workspace;

/**
 * Change to one declared item of a configuration.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({ @JsonSubTypes.Type(value = ItemChange.PutPipeline.class, name = "put_pipeline"),
		@JsonSubTypes.Type(value = ItemChange.PutRequestClass.class, name = "put_request_class"),
		@JsonSubTypes.Type(value = ItemChange.PutEndpoint.class, name = "put_endpoint"),
		@JsonSubTypes.Type(value = ItemChange.PutWorkspace.class, name = "put_workspace"),
		@JsonSubTypes.Type(value = ItemChange.Remove.class, name = "remove") })
public sealed interface ItemChange {

	/**
	 * Returns the kind of the item.
	 * @return the kind
	 */
	ItemKind kind();

	/**
	 * Returns the name of the item.
	 * @return the name, unique among items of its kind
	 */
	String name();

	/**
	 * Returns a description without the content of the item.
	 * @return the description, for example {@code put workspace paint}
	 */
	default String summary() {
		return ((this instanceof Remove) ? "remove " : "put ") + kind().label() + " " + name();
	}

	/**
	 * Adds or replaces a pipeline.
	 *
	 * @param pipeline the pipeline
	 */
	record PutPipeline(PipelineDefinition pipeline) implements ItemChange {

		@Override
		public ItemKind kind() {
			return ItemKind.PIPELINE;
		}

		@Override
		public String name() {
			return this.pipeline.name();
		}

	}

	/**
	 * Adds or replaces a request class.
	 *
	 * @param requestClass the request class
	 */
	record PutRequestClass(RequestClass requestClass) implements ItemChange {

		@Override
		public ItemKind kind() {
			return ItemKind.REQUEST_CLASS;
		}

		@Override
		public String name() {
			return this.requestClass.name();
		}

	}

	/**
	 * Adds or replaces an endpoint.
	 *
	 * @param endpoint the endpoint
	 */
	record PutEndpoint(Endpoint endpoint) implements ItemChange {

		@Override
		public ItemKind kind() {
			return ItemKind.ENDPOINT;
		}

		@Override
		public String name() {
			return this.endpoint.name();
		}

	}

	/**
	 * Adds or replaces a workspace.
	 *
	 * @param workspace the workspace
	 */
	record PutWorkspace(Workspace workspace) implements ItemChange {

		@Override
		public ItemKind kind() {
			return ItemKind.WORKSPACE;
		}

		@Override
		public String name() {
			return this.workspace.name();
		}

	}

	/**
	 * Removes an item.
	 *
	 * @param kind the item's kind
	 * @param name the item's name
	 */
	record Remove(ItemKind kind, String name) implements ItemChange {
	}

}
