import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Result } from 'ts-results';
import { result, type Clock, type Ms, type Revision } from '../../base/index.js';
import type {
  KeyValue,
  KeyValueStore,
  Metrics,
  StoreFailure,
  Swap,
  SwapOutcome,
  WatchEvent,
} from '../../port/index.js';
import { base64 } from './base64.js';
import { TokenBucket } from './tokenbucket.js';
import { Gateway } from './gateway.js';
import type { GatewayAnswers } from './gatewayanswers.js';
import { itemOf } from './itemof.js';
import { rangeEnd } from './rangeend.js';
import type { StoreSettings } from './storesettings.js';
import { txnOf } from './txnof.js';
import { watchGateway } from './watchgateway.js';

/** Options of an `EtcdStore`. */
interface EtcdStoreOptions extends StoreSettings {
  readonly clock: Clock;
  /** Seed of the jitter between read attempts. */
  readonly seed: number;
  /** Counts every call by its outcome. */
  readonly metrics?: Metrics;
}

const SECOND_MS = 1000;
const READ_ATTEMPTS = 4;
const BASE_BACKOFF_MS = 50;
const RATE_LIMITED: StoreFailure = {
  type: 'store-rate-limited',
  detail: 'This process has reached its own rate limit for store calls.',
};

/**
 * Driver of the platform's key-value store over the etcd v3 JSON gateway. Failed reads are retried with exponential,
 * jittered backoff. A write is sent once, and its outcome may be unknown.
 */
export class EtcdStore implements KeyValueStore {
  private readonly gateway: Gateway;

  private readonly rateLimits: Readonly<Record<'read' | 'write', TokenBucket>>;

  private readonly generator;

  constructor(private readonly options: EtcdStoreOptions) {
    this.gateway = new Gateway(options.urls, options.timeoutMs);
    this.generator = xoroshiro128plus(options.seed);
    this.rateLimits = {
      read: new TokenBucket(options.readsPerSecond),
      write: new TokenBucket(options.writesPerSecond),
    };
  }

  async get(key: string): Promise<Result<KeyValue | undefined, StoreFailure>> {
    const message = { key: base64.encode(key) };
    const answer = await this.read<GatewayAnswers['range']>('/v3/kv/range', message);
    return answer.map(({ kvs = [] }) => kvs.map(itemOf)[0]);
  }

  async list(
    prefix: string,
  ): Promise<Result<{ items: readonly KeyValue[]; revision: Revision }, StoreFailure>> {
    const message = { key: base64.encode(prefix), range_end: rangeEnd(prefix) };
    const answer = await this.read<GatewayAnswers['range']>('/v3/kv/range', message);
    return answer.map(({ header, kvs = [] }) => ({
      items: kvs.map(itemOf),
      revision: Number(header.revision) as Revision,
    }));
  }

  async swap(swap: Swap): Promise<Result<SwapOutcome, StoreFailure>> {
    const answer = await this.write<GatewayAnswers['txn']>('/v3/kv/txn', txnOf(swap));
    return answer.map(({ header, succeeded, responses = [] }): SwapOutcome => {
      if (succeeded) return { type: 'swapped', revision: Number(header.revision) as Revision };
      const [found] = responses[0]?.response_range?.kvs ?? [];
      return { type: 'conflict', current: found ? itemOf(found) : undefined };
    });
  }

  async grantLease(ttlMs: Ms): Promise<Result<string, StoreFailure>> {
    const TTL = String(Math.max(1, Math.ceil(ttlMs / SECOND_MS)));
    const answer = await this.write<GatewayAnswers['grant']>('/v3/lease/grant', { TTL });
    return answer.map(({ ID }) => ID);
  }

  async renewLease(leaseId: string): Promise<Result<Ms, StoreFailure>> {
    const message = { ID: leaseId };
    const answer = await this.write<GatewayAnswers['keepalive']>('/v3/lease/keepalive', message);
    return answer.map((renewed) => Number(renewed.result?.TTL ?? 0) * SECOND_MS);
  }

  async revokeLease(leaseId: string): Promise<Result<void, StoreFailure>> {
    const answer = await this.write<object>('/v3/lease/revoke', { ID: leaseId });
    return answer.map(() => undefined);
  }

  watch(prefix: string, fromRevision: Revision, onEvent: (event: WatchEvent) => void): () => void {
    const stopped = new AbortController();
    const emit = (event: WatchEvent) => {
      if (!stopped.signal.aborted) onEvent(event);
    };
    if (!this.rateLimits.read.take(this.options.clock.nowMs())) {
      this.count('watch', RATE_LIMITED.type);
      queueMicrotask(() => emit({ type: 'ended', failure: RATE_LIMITED }));
      return () => stopped.abort();
    }
    this.count('watch', 'opened');
    void watchGateway(this.gateway, prefix, fromRevision, emit, stopped.signal).then((failure) =>
      emit({ type: 'ended', failure }),
    );
    return () => stopped.abort();
  }

  /** Closes all connections; pending calls fail. */
  async close(): Promise<void> {
    await this.gateway.close();
  }

  private async read<Answer>(path: string, message: object): Promise<Result<Answer, StoreFailure>> {
    for (let attempt = 1; ; attempt += 1) {
      const answer = await this.send<Answer>('read', path, message);
      if (answer.ok || answer.val.type !== 'store-unavailable') return answer;
      if (attempt === READ_ATTEMPTS) return answer;
      await this.backoff(BASE_BACKOFF_MS * 2 ** attempt);
    }
  }

  private write<Answer>(path: string, message: object): Promise<Result<Answer, StoreFailure>> {
    return this.send<Answer>('write', path, message);
  }

  private async send<Answer>(
    kind: 'read' | 'write',
    path: string,
    message: object,
  ): Promise<Result<Answer, StoreFailure>> {
    const answer = this.rateLimits[kind].take(this.options.clock.nowMs())
      ? await this.gateway.call<Answer>(kind, path, message)
      : result.Err(RATE_LIMITED);
    this.count(kind, answer.err ? answer.val.type : 'answered');
    return answer;
  }

  private count(kind: 'read' | 'write' | 'watch', outcome: string): void {
    this.options.metrics?.count('store.calls', 1, { kind, outcome });
  }

  /** Waits for a random time between half of `longestMs` and `longestMs`. */
  private backoff(longestMs: Ms): Promise<void> {
    const backoffMs = uniformInt(this.generator, Math.floor(longestMs / 2), longestMs);
    return new Promise((resolve) => {
      this.options.clock.after(backoffMs, resolve);
    });
  }
}
