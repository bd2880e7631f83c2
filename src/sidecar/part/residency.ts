import type { Result } from 'ts-results';
import type {
  PlacementPlan,
  PlacementReply,
  Refusal,
  RescueReply,
  RescueRequest,
  Resident,
} from '../../wire/index.js';

/** What the upstream's memory holds, and the orders that change it. */
export interface Residency {
  /** Keeps a model (and adapter) in memory until the returned function is called. */
  pin(model: string, adapter: string): Result<() => void, Refusal>;
  place(plan: PlacementPlan): PlacementReply;
  rescue(request: RescueRequest): RescueReply;
  residents(): readonly Resident[];
  freeBytes(): number;
  /** Time until a model that is being loaded is expected to be ready, in ms, if that can be told. */
  expectedReadyMs?(model: string): number | undefined;
  /** Called when a planned stop begins: the upstream takes no new work. */
  leave?(): void;
  /** Called on a planned stop, once nothing is in flight. */
  stop?(): Promise<void>;
}
