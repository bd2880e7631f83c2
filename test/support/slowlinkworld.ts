import { result, VirtualClock, type Ms, type Revision } from '../../src/base/index.js';
import type { RouteTable } from '../../src/core/routetable/index.js';
import type { StateCodec } from '../../src/direct/index.js';
import { Follower, paceTable, SharedFeed } from '../../src/direct/sync/index.js';
import type { ChangeFeed, Log } from '../../src/port/index.js';
import { callOnce } from '../../src/shell/http1/index.js';
import { codec } from '../../platform/codec.js';
import { SlowLink } from './slowlink.js';

type Answer = Awaited<ReturnType<ChangeFeed['changes']>>;
type Changes = Extract<Answer, { ok: true }>['val'];
type Change = Changes['changes'][number];
type ChangesRequest = Parameters<SharedFeed['answer']>[0];

interface SlowLinkOptions {
  readonly entryCount: number;
  /** Bandwidth of each entry's link that requests leave free. The reader's link is not limited. */
  readonly bytesPerMs: number;
  /** True if one more entry reads the store for all. */
  readonly hasReader: boolean;
}

interface EntryState {
  version: number;
  /** Revisions of the records of this system that have arrived. */
  readonly records: Map<string, Revision>;
}

interface Entry {
  readonly follower: Follower;
  readonly shared: SharedFeed;
  readonly state: EntryState;
}

const STEP_MS = 10;
/** As in the drivers: how much longer than its wait a call may take. */
const STORE_MARGIN_MS = 700;
const PEER_MARGIN_MS = 200;
const LIST_TIMEOUT_MS = 1500;
const HEARTBEAT_MS = 1200;
const TABLE_KEY = 'op/config';
const LOG: Log = { info() {}, warn() {}, error() {} };

const worldCodec: StateCodec = {
  ...codec,
  decodeTable: (text) => result.Ok(JSON.parse(text) as RouteTable),
};

/** Entries that follow the store over links of limited bandwidth, in virtual time. */
export class SlowLinkWorld {
  private readonly clock = new VirtualClock();

  private readonly history: Change[] = [];

  private readonly latest = new Map<string, Change>();

  private readonly watches = new Set<() => void>();

  private readonly reader: Entry | undefined;

  private readonly entries: readonly Entry[];

  constructor(options: SlowLinkOptions) {
    this.putTable(1);
    if (options.hasReader) {
      this.reader = this.createEntry(new SlowLink(this.clock, Infinity), false);
    }
    this.entries = Array.from({ length: options.entryCount }, () =>
      this.createEntry(new SlowLink(this.clock, options.bytesPerMs), options.hasReader),
    );
  }

  /** The configuration that each entry has in force. */
  get versions(): number[] {
    return this.entries.map(({ state }) => state.version);
  }

  /** Number of entries that have the newest revision of each record of this system. */
  get completeCount(): number {
    const records = [...this.latest.values()].flatMap((change) =>
      change.type === 'put' && change.item.key.startsWith(codec.ownPrefix) ? [change.item] : [],
    );
    const isComplete = ({ state }: Entry) =>
      records.every(({ key, revision }) => state.records.get(key) === revision);
    return this.entries.filter(isComplete).length;
  }

  putTable(version: number): void {
    this.put(TABLE_KEY, JSON.stringify({ version }));
  }

  /** Writes a record of this system. */
  putRecord(name: string, bytes: number): void {
    this.put(`${codec.ownPrefix}${name}`, 'x'.repeat(bytes));
  }

  async advance(ms: Ms): Promise<void> {
    const untilMs = this.clock.nowMs() + ms;
    while (this.clock.nowMs() < untilMs) {
      // Calls end some turns of the event loop after their last byte.
      for (let turn = 0; turn < 6; turn += 1) {
        await new Promise((resolve) => {
          setImmediate(resolve);
        });
      }
      this.clock.advanceTo(this.clock.nowMs() + STEP_MS);
    }
  }

  stop(): void {
    for (const { follower } of this.entries) follower.stop();
    this.reader?.follower.stop();
  }

  private put(key: string, value: string): void {
    const revision = (this.history.length + 1) as Revision;
    const change: Change = { type: 'put', item: { key, value, revision } };
    this.history.push(change);
    this.latest.set(key, change);
    for (const act of [...this.watches]) act();
  }

  private createEntry(link: SlowLink, isShared: boolean): Entry {
    const { clock } = this;
    const shared = new SharedFeed({
      feed: this.storeOver(link),
      codec: worldCodec,
      clock,
      log: LOG,
      sharer: () => (isShared ? 'reader' : undefined),
      ask: (_, request) => this.askReader(link, request),
    });
    const state: EntryState = { version: 0, records: new Map() };
    const listener = {
      setTable: (table: RouteTable) => {
        state.version = table.version;
      },
      ownKeyChanged: (key: string, item: { revision: Revision } | undefined) => {
        if (item) state.records.set(key, item.revision);
      },
      upstream() {},
      upstreamGone() {},
      upstreamRestarted() {},
      complete() {},
    };
    const pace = () => {
      if (shared.isShared()) return paceTable.shared;
      return isShared ? paceTable.alone : paceTable.sharer;
    };
    const common = { codec: worldCodec, clock, log: LOG, heartbeatMs: HEARTBEAT_MS };
    const follower = new Follower({ feed: shared, listener, pace, ...common });
    void follower.run();
    return { follower, shared, state };
  }

  private async askReader(link: SlowLink, request: ChangesRequest): Promise<Answer | undefined> {
    const { reader } = this;
    if (!reader) return undefined;
    const handle = async () => {
      const answer = await reader.shared.answer(request);
      return answer.ok ? { changes: answer.val } : { failure: answer.val };
    };
    const timeoutMs = request.waitMs + PEER_MARGIN_MS;
    const relayed = (await this.call(link, handle, timeoutMs)) as
      { changes?: Changes; failure: never } | undefined;
    if (!relayed) return undefined;
    return relayed.changes ? result.Ok(relayed.changes) : result.Err(relayed.failure);
  }

  private storeOver(link: SlowLink): ChangeFeed {
    const unavailable = () =>
      result.Err({ type: 'store-unavailable' as const, detail: 'No answer.' });
    const feed: Pick<ChangeFeed, 'list' | 'changes'> = {
      list: async () => {
        const items = [...this.latest.values()].flatMap((change) =>
          change.type === 'put' ? [change.item] : [],
        );
        const listed = { items, revision: this.history.length as Revision };
        const got = await this.call(link, () => Promise.resolve(listed), LIST_TIMEOUT_MS);
        return got ? result.Ok(got as typeof listed) : unavailable();
      },
      changes: async (_, after, waitMs) => {
        const handle = () => this.watch(after, waitMs);
        const got = await this.call(link, handle, waitMs + STORE_MARGIN_MS);
        return got ? result.Ok(got as Changes) : unavailable();
      },
    };
    return feed as ChangeFeed;
  }

  private async call(
    link: SlowLink,
    handle: () => Promise<object>,
    timeoutMs: Ms,
  ): Promise<unknown> {
    const call = { method: 'GET', path: '/', headers: [] };
    const answer = await callOnce(link.channelTo(handle), call, this.clock, timeoutMs);
    return answer.ok ? JSON.parse(answer.val.body.toString()) : undefined;
  }

  private watch(after: Revision, waitMs: Ms): Promise<Changes> {
    return new Promise((resolve) => {
      const check = (isLast: boolean) => {
        const changes = this.history.slice(after);
        if (changes.length > 0 || isLast) {
          resolve({ changes, revision: this.history.length as Revision });
        }
      };
      const act = () => check(false);
      this.watches.add(act);
      this.clock.after(waitMs, () => {
        this.watches.delete(act);
        check(true);
      });
      check(false);
    });
  }
}
