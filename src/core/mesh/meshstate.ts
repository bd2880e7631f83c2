import type { Ms } from '../../base/index.js';
import type { HeldRecord } from './heldrecord.js';
import type { MeshHost } from './meshhost.js';
import type { MeshOptions } from './meshoptions.js';
import type { MeshSelf } from './meshself.js';
import type { MeshStore } from './meshstore.js';

/** All that one process knows of the records, its peers and its own progress. */
export interface MeshState {
  readonly options: MeshOptions;
  readonly self: MeshSelf;
  readonly seed: number;
  /** Random numbers drawn so far: seed and count give the next. */
  readonly drawCount: number;
  readonly startedAtMs: Ms;
  /** False until the host list has been read once. */
  readonly hostsKnown: boolean;
  /** Entries of the region in relay order: the first live ones hold the watches. */
  readonly entries: readonly MeshHost[];
  /** When each host of the region was last on the list, by id. */
  readonly listedAtMs: ReadonlyMap<string, Ms>;
  readonly records: ReadonlyMap<string, HeldRecord>;
  /** Highest sequence among the held documents. */
  readonly revision: number;
  /** Hash over the versions of all held documents, in whatever order they came. */
  readonly documentsHash: number;
  /** Keys of upstream records that wait to be passed on, by the neighbour's address. */
  readonly pending: ReadonlyMap<string, ReadonlySet<string>>;
  readonly nextFlushAtMs: Ms;
  /** Bytes that may be passed on at the next flush. */
  readonly allowanceBytes: number;
  /** Peers that did not answer, and until when they are passed by. */
  readonly suspects: ReadonlyMap<string, Ms>;
  readonly pull: {
    readonly nextAtMs: Ms;
    readonly nextFullAtMs: Ms;
    readonly lastPromptAtMs: Ms;
    /** Peers that are known to hold more, each with the key prefixes in question; none means all. */
    readonly prompts: ReadonlyMap<string, readonly string[]>;
    readonly inFlight?: {
      readonly to: string;
      readonly sinceMs: Ms;
      readonly scope: 'light' | 'some' | 'all';
    };
    /** Highest revision of an entry whose answer held nothing more for this process. */
    readonly coveredRevision: number;
  };
  readonly catchUp: {
    readonly phase: 'joining' | 'catchingUp' | 'current' | 'uncertain';
    /** Peers that had caught up themselves and have answered a full pull. */
    readonly readyPeers: readonly string[];
    readonly anyAnswer: boolean;
    readonly storeListed: boolean;
  };
  readonly store: MeshStore;
  readonly nextExpiryAtMs: Ms;
}
