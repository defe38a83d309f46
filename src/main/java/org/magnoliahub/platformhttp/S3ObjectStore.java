package org.magnoliahub.platformhttp;

import java.io.ByteArrayInputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import javax.xml.stream.XMLInputFactory;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamReader;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.magnoliahub.model.Arguments;
import org.magnoliahub.store.ObjectStore;
import org.magnoliahub.store.PutCondition;
import org.magnoliahub.store.StoreException;
import org.magnoliahub.store.StoredObject;

/**
 * {@link ObjectStore} on the S3 REST protocol with path-style addresses and conditional
 * writes. Requests are not signed: the platform admits them by network.
 */
public final class S3ObjectStore implements ObjectStore {

	// Most keys that the protocol returns per page.
	private static final int MAXIMUM_PAGE = 1000;

	private static final XMLInputFactory XML = xmlFactory();

	private final HttpUrl bucketUrl;

	private final HttpCalls calls;

	private S3ObjectStore(HttpUrl bucketUrl, HttpCalls calls) {
		this.bucketUrl = bucketUrl;
		this.calls = calls;
	}

	/**
	 * Creates the adapter.
	 * @param client shares its connections and threads
	 * @param baseUrl address of the service
	 * @param bucket name of the bucket, not blank
	 * @param timeout longest time of a call, positive
	 * @param eventLoop where results are delivered
	 * @return the adapter
	 * @throws IllegalArgumentException if the address is no URL, the bucket blank or the
	 * time-out not positive
	 */
	public static S3ObjectStore of(OkHttpClient client, String baseUrl, String bucket, Duration timeout,
			Scheduler eventLoop) {
		Arguments.requireText(bucket, "bucket");
		HttpUrl bucketUrl = HttpUrl.get(baseUrl).newBuilder().addPathSegment(bucket).build();
		return new S3ObjectStore(bucketUrl, HttpCalls.of(client, timeout, eventLoop));
	}

	private static XMLInputFactory xmlFactory() {
		XMLInputFactory factory = XMLInputFactory.newInstance();
		factory.setProperty(XMLInputFactory.SUPPORT_DTD, false);
		factory.setProperty(XMLInputFactory.IS_SUPPORTING_EXTERNAL_ENTITIES, false);
		factory.setProperty(XMLInputFactory.IS_COALESCING, true);
		return factory;
	}

	@Override
	public Single<Optional<StoredObject>> get(String key) {
		return this.calls.send(new Request.Builder().url(objectUrl(key)), false)
			.map((answer) -> switch (answer.status()) {
				case HttpAnswer.OK -> Optional.of(new StoredObject(answer.body(), answer.entityTag()));
				case HttpAnswer.NOT_FOUND -> Optional.empty();
				default -> throw HttpCalls.unexpectedStatus(answer, false);
			});
	}

	@Override
	public Single<Optional<String>> put(String key, byte[] content, PutCondition condition) {
		Request.Builder request = new Request.Builder().url(objectUrl(key)).put(RequestBody.create(content.clone()));
		if (condition instanceof PutCondition.IfAbsent) {
			request.header("If-None-Match", "*");
		}
		else if (condition instanceof PutCondition.IfMatches expected) {
			request.header("If-Match", expected.entityTag());
		}
		return this.calls.send(request, true).map((answer) -> {
			boolean notMatched = answer.status() == HttpAnswer.PRECONDITION_FAILED
					|| (answer.status() == HttpAnswer.NOT_FOUND && condition instanceof PutCondition.IfMatches);
			if (notMatched) {
				return Optional.empty();
			}
			if (answer.status() != HttpAnswer.OK) {
				throw HttpCalls.unexpectedStatus(answer, true);
			}
			if (answer.entityTag().isEmpty()) {
				throw new StoreException("answer to a put has no entity tag", true);
			}
			return Optional.of(answer.entityTag());
		});
	}

	@Override
	public Single<List<String>> list(String prefix, String startAfter, int limit) {
		Arguments.requireRange(limit, 1, Integer.MAX_VALUE, "list limit");
		int pageSize = Math.min(limit, MAXIMUM_PAGE);
		HttpUrl.Builder url = this.bucketUrl.newBuilder()
			.addQueryParameter("list-type", "2")
			.addQueryParameter("prefix", prefix)
			.addQueryParameter("max-keys", Integer.toString(pageSize));
		if (!startAfter.isEmpty()) {
			url.addQueryParameter("start-after", startAfter);
		}
		return this.calls.send(new Request.Builder().url(url.build()), false).flatMap((answer) -> {
			if (answer.status() != HttpAnswer.OK) {
				return Single.error(HttpCalls.unexpectedStatus(answer, false));
			}
			Page page = parse(answer.body());
			List<String> keys = page.keys();
			if (!page.truncated() || keys.isEmpty() || keys.size() >= limit) {
				return Single.just(keys);
			}
			return list(prefix, keys.get(keys.size() - 1), limit - keys.size()).map((rest) -> {
				List<String> all = new ArrayList<>(keys);
				all.addAll(rest);
				return all;
			});
		});
	}

	@Override
	public Completable delete(String key) {
		return this.calls.send(new Request.Builder().url(objectUrl(key)).delete(), true)
			.flatMapCompletable((answer) -> {
				// The protocol answers 204 whether or not the object existed.
				boolean gone = answer.status() == HttpAnswer.OK || answer.status() == HttpAnswer.NO_CONTENT
						|| answer.status() == HttpAnswer.NOT_FOUND;
				return gone ? Completable.complete() : Completable.error(HttpCalls.unexpectedStatus(answer, true));
			});
	}

	private HttpUrl objectUrl(String key) {
		Arguments.requireText(key, "object key");
		// Such segments would be resolved as a path.
		if (Arrays.stream(key.split("/", -1)).anyMatch((segment) -> segment.equals(".") || segment.equals(".."))) {
			throw new IllegalArgumentException("object key must not have . or .. between slashes, but was " + key);
		}
		return this.bucketUrl.newBuilder().addPathSegments(key).build();
	}

	private static Page parse(byte[] body) throws StoreException {
		List<String> keys = new ArrayList<>();
		boolean truncated = false;
		try {
			XMLStreamReader reader = XML.createXMLStreamReader(new ByteArrayInputStream(body));
			while (reader.hasNext()) {
				if (reader.next() != XMLStreamReader.START_ELEMENT) {
					continue;
				}
				if (reader.getLocalName().equals("Key")) {
					keys.add(reader.getElementText());
				}
				else if (reader.getLocalName().equals("IsTruncated")) {
					truncated = Boolean.parseBoolean(reader.getElementText());
				}
			}
		}
		catch (XMLStreamException ex) {
			throw new StoreException("list of objects is not valid XML: " + ex.getMessage(), false);
		}
		return new Page(keys, truncated);
	}

	/**
	 * A page of keys.
	 *
	 * @param keys the keys in ascending order
	 * @param truncated whether more keys follow
	 */
	private record Page(List<String> keys, boolean truncated) {
	}

}
