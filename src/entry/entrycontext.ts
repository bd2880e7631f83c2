import type { ConnectionGuard } from '../shell/callers/index.js';
import type { MeshBoard } from '../shell/mesh/index.js';
import type { PeerCredentials } from '../shell/tls/index.js';
import type { HeldAnswers } from './answer/index.js';
import type { EntryLimits } from './entrylimits.js';
import type { Gate } from './gate.js';
import type { KeyIndex } from './keyindex.js';
import type { InFlightRequest } from './inflightrequest.js';
import type { Planner } from './planner/index.js';
import type { Context, Directory, Router, Tickets } from './component/index.js';

/** What all request handlers of an entry share. */
export interface EntryContext extends Context {
  readonly board: MeshBoard;
  readonly credentials: PeerCredentials;
  readonly directory: Directory;
  readonly router: Router;
  readonly planner: Planner;
  readonly tickets: Tickets;
  readonly limits: EntryLimits;
  readonly gate: Gate;
  /** Bounds what callers' requests hold. */
  readonly guard: ConnectionGuard;
  /** Bounds what answers hold that are sent once they are complete. */
  readonly heldAnswers: HeldAnswers;
  readonly keys: KeyIndex;
  /** Hashes the leading block of a prompt. */
  readonly hashPrefix: (text: string) => string;
  /** Requests in flight. */
  readonly runs: Set<InFlightRequest>;
}
