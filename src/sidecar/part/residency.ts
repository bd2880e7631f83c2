import type { Result } from 'ts-results';
import type {
  PlacementPlan,
  PlacementReply,
  Refusal,
  RescueReply,
  RescueRequest,
  Resident,
} from '../../wire/index.js';

/** The models and adapters in the upstream's memory, and the requests that change them. */
export interface Residency {
  /** Pins a model, and an adapter if one is named, in memory until the returned function is called. */
  pin(model: string, adapter: string): Result<() => void, Refusal>;
  place(plan: PlacementPlan): PlacementReply;
  rescue(request: RescueRequest): RescueReply;
  residents(): readonly Resident[];
  freeBytes(): number;
  /** Returns the expected time in ms until a model that is being loaded is ready; undefined if unknown. */
  expectedReadyMs?(model: string): number | undefined;
  /** Called when a planned stop begins: the upstream accepts no new requests. */
  leave?(): void;
  /** Called on a planned stop, once nothing is in flight. */
  stop?(): Promise<void>;
}
