package org.magnoliahub.server;

import java.security.SecureRandom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.configuration.ConfigurationPeers;
import org.magnoliahub.configuration.ConfigurationRepository;
import org.magnoliahub.configuration.ConfigurationSynchronizer;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.protocol.Message;
import org.magnoliahub.store.ObjectStore;
import org.magnoliahub.store.PutCondition;
import org.magnoliahub.store.Row;
import org.magnoliahub.store.RowKey;
import org.magnoliahub.store.StoreException;
import org.magnoliahub.store.StoredObject;
import org.magnoliahub.store.TableStore;
import org.magnoliahub.store.Transaction;
import org.magnoliahub.store.TransactionResult;
import org.magnoliahub.time.TimerService;
import org.magnoliahub.transport.GatewaySession;

/**
 * An agent's part in the spreading of configuration versions. Gateways are connected only
 * to agents, so agents pass versions on between them; 2,600 agents do not poll the table
 * service themselves.
 */
final class ConfigurationRelay implements ConfigurationPeers {

	private final Map<String, GatewaySession> sessions = new HashMap<>();

	private final ConfigurationSynchronizer holder;

	private ConfigurationRelay(TimerService timers) {
		this.holder = ConfigurationSynchronizer.of(ConfigurationRepository.of(new NoTableStore(), new NoObjectStore()),
				this, timers, new SecureRandom());
	}

	static ConfigurationRelay create(TimerService timers) {
		return new ConfigurationRelay(timers);
	}

	boolean start(Consumer<Configuration> whenChanged) {
		this.holder.configurations().subscribe(whenChanged::accept);
		this.holder.start();
		return true;
	}

	long version() {
		return this.holder.configuration().version();
	}

	void connected(GatewaySession session) {
		String gateway = session.gatewayHello().process();
		this.sessions.put(gateway, session);
		this.holder.peerConnected(gateway, session.gatewayHello().configurationVersion());
	}

	void disconnected(GatewaySession session) {
		this.sessions.remove(session.gatewayHello().process(), session);
	}

	void receive(GatewaySession session, Message.ConfigurationChanges changes) {
		this.holder.receive(session.gatewayHello().process(), changes);
	}

	@Override
	public List<String> connected() {
		return List.copyOf(this.sessions.keySet());
	}

	@Override
	public void send(String peer, Message.ConfigurationChanges message) {
		GatewaySession session = this.sessions.get(peer);
		if (session != null) {
			session.send(message);
		}
	}

	private static <T> Single<T> unavailable() {
		return Single.error(new StoreException("agents do not use the platform's services", false));
	}

	private static final class NoTableStore implements TableStore {

		@Override
		public Single<Optional<Row>> read(RowKey key) {
			return unavailable();
		}

		@Override
		public Single<List<Row>> scan(String table, String fromKey, int limit) {
			return unavailable();
		}

		@Override
		public Single<TransactionResult> commit(Transaction transaction) {
			return unavailable();
		}

	}

	private static final class NoObjectStore implements ObjectStore {

		@Override
		public Single<Optional<StoredObject>> get(String key) {
			return unavailable();
		}

		@Override
		public Single<Optional<String>> put(String key, byte[] content, PutCondition condition) {
			return unavailable();
		}

		@Override
		public Single<List<String>> list(String prefix, String startAfter, int limit) {
			return unavailable();
		}

		@Override
		public Completable delete(String key) {
			return unavailable().ignoreElement();
		}

	}

}
