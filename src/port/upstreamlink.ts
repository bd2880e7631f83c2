import type { CustomerId, ModelId, Ms, RequestId, UpstreamId } from '../base/index.js';
import type { UpstreamReceiver } from './upstreamreceiver.js';

/** A caller's request as it goes to an upstream. */
interface UpstreamCall {
  readonly upstream: UpstreamId;
  readonly address: string;
  readonly maxConnections: number;
  readonly requestId: RequestId;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  /** The caller's headers that go on: alternates names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Whom the request's key belongs to. */
  readonly customer?: CustomerId;
  /** The caller's own credential, where the configuration knows no keys. */
  readonly authorization?: string;
  /** How long the upstream may work on it. */
  readonly deadlineMs: Ms;
  /** 0 is the most urgent, 9 the least. */
  readonly priority: number;
  /** Id of the last event that the caller has, where a stream goes on. */
  readonly resumeAfter?: string;
  /** Version of the weights that a continued stream needs. */
  readonly weightsVersion?: string;
  /** Asked right before the first byte leaves, maybe after a connection has opened; if it says no, none does. */
  readonly mayLeave: () => boolean;
}

/** A request on its way. */
interface UpstreamSent {
  /** False as long as not one byte of it has left this process. */
  readonly hasLeft: boolean;
  cancel(): void;
  resume(): void;
}

/** An order about weights. */
interface UpstreamOrder {
  readonly upstream: UpstreamId;
  readonly address: string;
  readonly action: 'load' | 'unload';
  readonly model: ModelId;
  readonly adapter?: string;
  /** The order is void if the upstream has accepted another number of orders. */
  readonly expectedOrderCount: number;
  readonly holder: string;
  readonly fencingToken: number;
}

/** What an upstream said to an order. */
type OrderOutcome =
  | 'accepted'
  /** Nothing is left to do: it holds already, or was done at once. */
  | 'done'
  | 'conflict'
  | 'fenced'
  | 'wrong-upstream'
  | 'rejected'
  | 'unsent'
  | 'unknown';

/** An upstream's own word on what it holds, some hundred ms old. */
interface UpstreamReport {
  /** Unix time of its start; undefined where it does not tell. */
  readonly startedAtMs?: Ms;
  /** Orders that it has accepted since. */
  readonly orderCount: number;
  readonly isBusy: boolean;
  readonly models: ReadonlyMap<
    ModelId,
    { readonly version: number; readonly adapters: ReadonlySet<string> }
  >;
}

/** Reaches upstreams without a sidecar. */
export interface UpstreamLink {
  /** Undefined if all connections that this process may have there are in use. */
  send(call: UpstreamCall, receiver: UpstreamReceiver): UpstreamSent | undefined;
  /** `mayLeave` is asked right before the first byte leaves; if it says no, the order is unsent. */
  order(order: UpstreamOrder, timeoutMs: Ms, mayLeave: () => boolean): Promise<OrderOutcome>;
  /** What the upstream itself says that it holds; undefined without an answer. */
  report(upstream: UpstreamId, address: string, timeoutMs: Ms): Promise<UpstreamReport | undefined>;
  /** Closes all connections to an address whose process has ended; requests that run there fail. */
  drop(address: string): void;
  /** Closes idle connections to addresses other than these; requests that run there go on. */
  keep(addresses: ReadonlySet<string>): void;
  close(): void;
}
