import type { ServiceId } from '../../base/index.js';
import type { BoardStatus } from '../../shell/board/index.js';
import type { Context, Directory, Router } from '../part/index.js';
import { ServicePlanner } from './serviceplanner.js';

/** Between rounds: a load takes a few seconds, so more often would see nothing new. */
const ROUND_MS = 2_000;

/** The planners of all services that this entry has documents of. */
export class Planner {
  private readonly services = new Map<ServiceId, ServicePlanner>();

  private cancel = () => {};

  constructor(
    private readonly context: Context,
    private readonly directory: Directory,
    private readonly router: Router,
    private readonly boardStatus: () => BoardStatus,
  ) {}

  start(): void {
    this.round();
  }

  stop(): void {
    this.cancel();
    for (const service of this.services.values()) service.stop();
  }

  /** The planner of a service, if this entry holds its lease. */
  explain(service: ServiceId): ReturnType<ServicePlanner['explain']> {
    return this.services.get(service)?.explain();
  }

  /** Relays may plan: they watch the store already, and there are two in a region. */
  private mayPlan(): boolean {
    const { relay, entryCount } = this.boardStatus();
    return relay || entryCount === 0;
  }

  private round(): void {
    const candidate = this.mayPlan() && this.directory.caughtUp();
    for (const document of this.directory.documents()) {
      // A plain service has nothing to place.
      if (document.models.length === 0) continue;
      const known = this.services.get(document.service);
      const planner = known ?? new ServicePlanner(this.context, this.router, document);
      this.services.set(document.service, planner);
      planner.round(document, candidate);
    }
    this.cancel = this.context.clock.after(ROUND_MS, () => this.round());
  }
}
