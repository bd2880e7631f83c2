import type { ServiceId } from '../../base/index.js';
import type { BoardStatus } from '../../shell/board/index.js';
import type { Context, Directory, Router } from '../component/index.js';
import { ServicePlanner } from './serviceplanner.js';

/** Interval of planning rounds. Loading a model takes a few seconds, so shorter rounds would see no change. */
const ROUND_MS = 2_000;

/** Plans all services that this entry has documents of. */
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
    this.runRound();
  }

  stop(): void {
    this.cancel();
    for (const service of this.services.values()) service.stop();
  }

  /** Returns the state of the last plans of a service; undefined if this entry does not plan it. */
  explain(service: ServiceId): ReturnType<ServicePlanner['explain']> {
    return this.services.get(service)?.explain();
  }

  /** True if this entry may plan. Relays may: they watch the store anyway, and a region has two of them. */
  private mayPlan(): boolean {
    const { relay, entryCount } = this.boardStatus();
    return relay || entryCount === 0;
  }

  private runRound(): void {
    const isCandidate = this.mayPlan() && this.directory.caughtUp();
    for (const document of this.directory.documents()) {
      // A plain service has no models to place.
      if (document.models.length === 0) continue;
      const known = this.services.get(document.service);
      const planner = known ?? new ServicePlanner(this.context, this.router, document);
      this.services.set(document.service, planner);
      planner.round(document, isCandidate);
    }
    this.cancel = this.context.clock.after(ROUND_MS, () => this.runRound());
  }
}
