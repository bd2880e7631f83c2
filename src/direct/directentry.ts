import type { Clock, Ms, ServiceId, UpstreamId } from '../base/index.js';
import { RetryBudget } from '../core/retrybudget/index.js';
import type { Route, RouteTable } from '../core/routetable/index.js';
import type { Upstream } from '../core/upstreams/index.js';
import type { ChangeFeed, KeyValue, Log, UpstreamLink } from '../port/index.js';
import type { Caller } from './caller.js';
import type { DirectSettings } from './directsettings.js';
import { Fleet, type Need } from './route/index.js';
import { Run } from './run/index.js';
import type { Serving } from './serving.js';
import type { StateCodec } from './statecodec.js';
import { Follower } from './sync/index.js';

/** What an entry stands on. */
interface DirectContext {
  readonly settings: DirectSettings;
  readonly clock: Clock;
  readonly log: Log;
  readonly feed: ChangeFeed;
  readonly codec: StateCodec;
  readonly link: UpstreamLink;
}

/**
 * Entries that may share a service's retry budget and connections. More than this were never seen on
 * deployments with the bounds that the defaults come from; with fewer, some of it stays unused.
 */
const SHARERS = 8;
const LEAST_CONNECTIONS = 4;

/** An entry that reaches upstreams itself. */
export class DirectEntry implements Serving {
  readonly clock: Clock;

  readonly log: Log;

  readonly link: UpstreamLink;

  readonly fleet: Fleet;

  table: RouteTable | undefined;

  private readonly budgets = new Map<ServiceId, RetryBudget>();

  private readonly follower: Follower;

  private readonly runs = new Set<Run>();

  private hasState = false;

  private isStopping = false;

  constructor(private readonly context: DirectContext) {
    const { clock, log, link, settings, feed, codec } = context;
    this.clock = clock;
    this.log = log;
    this.link = link;
    this.fleet = new Fleet(settings.availabilityZone);
    this.follower = new Follower(feed, codec, this, clock, log);
  }

  start(): void {
    void this.follower.run();
  }

  isReady(): boolean {
    return this.hasState && this.table !== undefined && !this.isStopping;
  }

  get limits(): RouteTable['limits'] | undefined {
    return this.table?.limits;
  }

  get inFlight(): number {
    return this.runs.size;
  }

  accept(caller: Caller): void {
    const run: Run = new Run(this, caller, () => this.runs.delete(run));
    this.runs.add(run);
    run.start();
  }

  /** Takes no new work from the balancer; what runs goes on. */
  retire(): void {
    this.isStopping = true;
  }

  close(): void {
    this.follower.stop();
    this.link.close();
  }

  budgetOf(service: ServiceId): RetryBudget {
    let budget = this.budgets.get(service);
    if (!budget) {
      const { retryRatio, retrySlack, retryWindowMs } = this.context.settings;
      budget = new RetryBudget({
        windowMs: retryWindowMs,
        ratio: retryRatio,
        slack: retrySlack / SHARERS,
      });
      this.budgets.set(service, budget);
    }
    return budget;
  }

  connectionShare(maxConnections = 0): number {
    return Math.max(LEAST_CONNECTIONS, Math.floor(maxConnections / SHARERS));
  }

  seek(need: Need, _route: Route, _remainingMs: Ms): ReturnType<Serving['seek']> {
    const detail = `No upstream of ${need.service} holds what the request needs.`;
    return Promise.resolve({ type: 'unavailable' as const, reason: 'not-resident', detail });
  }

  ended(): void {}

  // What the follower tells.

  setTable(table: RouteTable): void {
    this.table = table;
  }

  upstream(upstream: Upstream): void {
    this.fleet.put(upstream);
  }

  upstreamGone(id: UpstreamId): void {
    this.fleet.remove(id);
    this.keepConnections();
  }

  own(_key: string, _item: KeyValue | undefined): void {}

  complete(): void {
    this.hasState = true;
  }

  private keepConnections(): void {
    const addresses = new Set<string>();
    for (const { info } of this.fleet.all()) addresses.add(info.address);
    this.link.keep(addresses);
  }
}
