import { isDeepStrictEqual } from 'node:util';
import type { Ms, Revision } from '../../base/index.js';
import type { ChangeFeed, KeyValue } from '../../port/index.js';
import type { StateCodec } from '../statecodec.js';

type Changes = Extract<Awaited<ReturnType<ChangeFeed['changes']>>, { ok: true }>['val'];
type Change = Changes['changes'][number];

/** Entries that are further behind have to read the store themselves. */
const MAX_CHANGES = 2000;
/** Records of this system from this size on may wait for other changes. */
const LARGE_BYTES = 4096;
/** Bound on large records in one answer: 0.05 s over a link of 10 Mbit/s, so that the next answer can follow soon. */
const MAX_LARGE_BYTES = 65_536;

function revisionOf(change: Change): Revision {
  return change.type === 'put' ? change.item.revision : change.revision;
}

function keyOf(change: Change): string {
  return change.type === 'put' ? change.item.key : change.key;
}

/**
 * The latest changes that this entry has read from the store, for other entries that read them from it. Writes that
 * change nothing but an upstream's heartbeat are left out: of 33 writes a second by 40 upstreams, few change more.
 */
export class ChangeLog {
  private kept: Change[] = [];

  private readonly values = new Map<string, unknown>();

  private startRevision = Infinity as Revision;

  private lastRevision = -1 as Revision;

  /** When the last request that the store answered was sent. */
  private freshAtMs: Ms = -Infinity;

  private readonly waiting = new Set<() => void>();

  constructor(private readonly codec: StateCodec) {}

  get revision(): Revision {
    return this.lastRevision;
  }

  /** Returns how old this log's state of the store is, in ms. */
  ageMs(nowMs: Ms): Ms {
    return nowMs - this.freshAtMs;
  }

  /** Adds the store's answer to a request for changes after a revision, sent at `sentAtMs`. */
  add(after: Revision, { changes, revision }: Changes, sentAtMs: Ms): void {
    if (after !== this.lastRevision) this.restart(after);
    for (const change of changes) {
      if (this.isRead(keyOf(change)) && this.isNews(change)) this.keep(this.reduced(change));
    }
    const excess = this.kept.length - MAX_CHANGES;
    if (excess > 0) {
      this.startRevision = revisionOf(this.kept[excess - 1]!);
      this.kept = this.kept.slice(excess);
    }
    this.lastRevision = revision;
    this.freshAtMs = sentAtMs;
    for (const act of [...this.waiting]) act();
  }

  /**
   * Returns the changes after a revision; undefined if this log does not reach back to it. Large records beyond one
   * answer's bound are left for the next one, and the revision returned is the one before them. All other changes are in
   * each answer, so that they never wait for large records; some are in the next one again.
   */
  after(revision: Revision): Changes | undefined {
    if (revision < this.startRevision) return undefined;
    const changes: Change[] = [];
    let largeBytes = 0;
    let left: Change | undefined;
    for (const change of this.kept) {
      if (revisionOf(change) <= revision) continue;
      const bytes = this.largeBytesOf(change);
      if (bytes > 0 && largeBytes > 0 && largeBytes + bytes > MAX_LARGE_BYTES) left ??= change;
      if (bytes > 0 && left) continue;
      largeBytes += bytes;
      changes.push(change);
    }
    const known = left ? revisionOf(left) - 1 : this.lastRevision;
    return { changes, revision: Math.max(revision, known) as Revision };
  }

  /** Calls back at each addition. Returns a function that unsubscribes. */
  watch(act: () => void): () => void {
    this.waiting.add(act);
    return () => this.waiting.delete(act);
  }

  /** Returns the size of a large record of this system; 0 for any other change. */
  private largeBytesOf(change: Change): number {
    if (change.type === 'deleted' || !change.item.key.startsWith(this.codec.ownPrefix)) return 0;
    const bytes = change.item.value.length;
    return bytes < LARGE_BYTES ? 0 : bytes;
  }

  /**
   * Keeps a change. Of the configuration and of records that this system writes only the newest version counts; of an
   * upstream's record each one does, as what it says of a planned stop is not taken back by the next.
   */
  private keep(change: Change): void {
    const key = keyOf(change);
    if (this.codec.upstreamOf(key) === undefined) {
      this.kept = this.kept.filter((earlier) => keyOf(earlier) !== key);
    }
    this.kept.push(change);
  }

  /** Returns true for the keys that entries read; any process can write others. */
  private isRead(key: string): boolean {
    const { codec } = this;
    return (
      codec.upstreamOf(key) !== undefined || codec.isTable(key) || key.startsWith(codec.ownPrefix)
    );
  }

  /** Leaves out the bytes of an unreadable record that is too large for an upstream: it stays unreadable. */
  private reduced(change: Change): Change {
    if (change.type === 'deleted') return change;
    const { key, value } = change.item;
    const isUnreadable = this.codec.upstreamOf(key) !== undefined && !this.values.has(key);
    if (!isUnreadable || value.length <= MAX_LARGE_BYTES) return change;
    return { ...change, item: { ...change.item, value: '' } };
  }

  private restart(after: Revision): void {
    this.kept = [];
    this.values.clear();
    this.startRevision = after;
  }

  private isNews(change: Change): boolean {
    if (change.type === 'deleted') {
      this.values.delete(change.key);
      return true;
    }
    const { key } = change.item;
    const content = this.contentOf(change.item);
    const before = this.values.get(key);
    if (content === undefined) this.values.delete(key);
    else this.values.set(key, content);
    return content === undefined || !isDeepStrictEqual(before, content);
  }

  /** Returns an upstream's record without its sequence; undefined for other keys and for unreadable records. */
  private contentOf({ key, value }: KeyValue): unknown {
    const id = this.codec.upstreamOf(key);
    if (id === undefined) return undefined;
    const upstream = this.codec.decodeUpstream(id, value);
    return upstream.ok ? { ...upstream.val, sequence: undefined } : undefined;
  }
}
