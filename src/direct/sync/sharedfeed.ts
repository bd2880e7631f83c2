import { result, type Clock, type Ms, type Revision } from '../../base/index.js';
import type { ChangeFeed, Log } from '../../port/index.js';
import type { StateCodec } from '../statecodec.js';
import { ChangeLog } from './changelog.js';
import { OLDEST_SHARED_MS } from './oldestshared.js';
import type { StateFeed } from './statefeed.js';

type Told = Awaited<ReturnType<ChangeFeed['changes']>>;

/** A question for changes from one entry to another. */
interface ChangeQuestion {
  readonly after: Revision;
  readonly waitMs: Ms;
}

/** Options of a shared feed. */
interface SharedFeedOptions {
  readonly feed: ChangeFeed;
  readonly codec: StateCodec;
  readonly clock: Clock;
  readonly log: Log;
  /** The entry that reads the store for the others; undefined while there is none, or it is this one. */
  readonly sharer: () => string | undefined;
  /** Undefined without an answer within the question's wait and a margin. */
  readonly ask: (address: string, question: ChangeQuestion) => Promise<Told | undefined>;
}

const SHARED_WAIT_MS = 600;
/** An entry that did not answer, or was behind, is not asked again for this long. */
const DISTRUST_MS = 3000;

/**
 * The store's changes, read by one entry for all: each entry's own questions were most of the calls to the
 * store (4,276 in a calm day of 28 entries, and a seventh of that of 5). Where the one who shares is silent,
 * behind or cut off from the store, the store is asked as before.
 */
export class SharedFeed implements StateFeed {
  private readonly changeLog: ChangeLog;

  private distrusted: { readonly address: string; readonly untilMs: Ms } | undefined;

  constructor(private readonly options: SharedFeedOptions) {
    this.changeLog = new ChangeLog(options.codec);
  }

  list(prefix: string): ReturnType<ChangeFeed['list']> {
    return this.options.feed.list(prefix);
  }

  async changes(prefix: string, after: Revision, waitMs: Ms): Promise<Told> {
    const { clock, feed } = this.options;
    const shared = await this.shared(after);
    if (shared) return shared;
    const sentAtMs = clock.nowMs();
    const answer = await feed.changes(prefix, after, waitMs);
    if (answer.ok) this.changeLog.add(after, answer.val, sentAtMs);
    return answer;
  }

  /** Whether another entry reads the store for this one. */
  isShared(): boolean {
    return this.trusted() !== undefined;
  }

  /** Answers another entry's question, at once if there is news or none can be vouched for. */
  answer({ after, waitMs }: ChangeQuestion): Promise<Told> {
    const { clock } = this.options;
    return new Promise((resolve) => {
      let isOver = false;
      let forget = () => {};
      let forgetAge = () => {};
      let unwatch = () => {};
      const end = (told: Told) => {
        if (isOver) return;
        isOver = true;
        forget();
        forgetAge();
        unwatch();
        resolve(told);
      };
      const look = (isLast: boolean) => {
        const told = this.tell(after);
        if (told.err || told.val.changes.length > 0 || isLast) end(told);
      };
      const lookAtAge = () => {
        if (isOver) return;
        const leftMs = OLDEST_SHARED_MS - this.changeLog.ageMs(clock.nowMs());
        if (leftMs < 0) look(true);
        else forgetAge = clock.after(leftMs + 1, lookAtAge);
      };
      look(false);
      if (isOver) return;
      unwatch = this.changeLog.watch(() => look(false));
      forget = clock.after(waitMs, () => look(true));
      lookAtAge();
    });
  }

  private tell(after: Revision): Told {
    const ageMs = this.changeLog.ageMs(this.options.clock.nowMs());
    if (ageMs > OLDEST_SHARED_MS) {
      const detail = `This entry last heard of the store ${Math.round(ageMs)} ms ago.`;
      return result.Err({ type: 'store-unavailable', detail });
    }
    const told = this.changeLog.after(after);
    if (told) return result.Ok(told);
    const detail = `This entry does not remember changes after ${after}.`;
    return result.Err({ type: 'store-compacted', detail });
  }

  private trusted(): string | undefined {
    const { sharer, clock } = this.options;
    const address = sharer();
    const { distrusted } = this;
    if (address === undefined) return undefined;
    const isDistrusted = distrusted?.address === address && clock.nowMs() < distrusted.untilMs;
    return isDistrusted ? undefined : address;
  }

  private async shared(after: Revision): Promise<Told | undefined> {
    const address = this.trusted();
    if (address === undefined) return undefined;
    const { clock, log, ask } = this.options;
    const told = await ask(address, { after, waitMs: SHARED_WAIT_MS });
    if (told?.ok) return told;
    // One that does not reach back far enough is asked again once the store itself has told the rest.
    if (told?.val.type === 'store-compacted') return undefined;
    this.distrusted = { address, untilMs: clock.nowMs() + DISTRUST_MS };
    const detail = told?.val.detail ?? 'No answer.';
    log.warn('changes not shared', { address, after, detail, againInMs: DISTRUST_MS });
    return undefined;
  }
}
