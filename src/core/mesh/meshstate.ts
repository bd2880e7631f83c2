import type { Ms } from '../../base/index.js';
import type { HeldRecord } from './heldrecord.js';
import type { MeshHost } from './meshhost.js';
import type { MeshOptions } from './meshoptions.js';
import type { MeshSelf } from './meshself.js';
import type { RelayStoreState } from './relaystorestate.js';

/** Dissemination state of one process: its records, its peers and its catch-up progress. */
export interface MeshState {
  readonly options: MeshOptions;
  readonly self: MeshSelf;
  readonly seed: number;
  /** Random numbers drawn so far; `seed` and this count determine the next one. */
  readonly drawCount: number;
  readonly startedAtMs: Ms;
  /** False until the host list has been read once. */
  readonly hostsKnown: boolean;
  /** Entries of the region in relay order: the first live ones watch the store. */
  readonly entries: readonly MeshHost[];
  /** When each host of the region was last on the host list, by id. */
  readonly listedAtMs: ReadonlyMap<string, Ms>;
  readonly records: ReadonlyMap<string, HeldRecord>;
  /** Highest sequence among the held documents. */
  readonly revision: number;
  /** Hash over the versions of all held documents, independent of the order in which they arrived. */
  readonly documentsHash: number;
  /** Keys of upstream records queued for the next flush, by the neighbour's address. */
  readonly pending: ReadonlyMap<string, ReadonlySet<string>>;
  readonly nextFlushAtMs: Ms;
  /** Bytes that the next flush may send. */
  readonly allowanceBytes: number;
  /** Peers that did not answer, with the time until which each is avoided. */
  readonly suspects: ReadonlyMap<string, Ms>;
  readonly pull: {
    readonly nextAtMs: Ms;
    readonly nextFullAtMs: Ms;
    readonly lastPromptAtMs: Ms;
    /** Peers known to hold newer records, with the key prefixes concerned; an empty list means all. */
    readonly prompts: ReadonlyMap<string, readonly string[]>;
    readonly inFlight?: {
      readonly to: string;
      readonly sinceMs: Ms;
      readonly scope: 'light' | 'some' | 'all';
    };
    /** Highest document revision up to which a complete pull answer has been processed. */
    readonly checkedRevision: number;
  };
  readonly catchUp: {
    readonly phase: 'joining' | 'catchingUp' | 'current' | 'uncertain';
    /** Peers that had caught up and have answered a full pull completely. */
    readonly readyPeers: readonly string[];
    readonly anyAnswer: boolean;
    readonly storeListed: boolean;
  };
  readonly store: RelayStoreState;
  readonly nextExpiryAtMs: Ms;
}
