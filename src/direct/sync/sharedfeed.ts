import { result, type Clock, type Ms, type Revision } from '../../base/index.js';
import type { ChangeFeed, Log } from '../../port/index.js';
import type { StateCodec } from '../statecodec.js';
import { ChangeLog } from './changelog.js';
import { MAX_SHARED_AGE_MS } from './maxsharedage.js';
import type { StateFeed } from './statefeed.js';

type Answer = Awaited<ReturnType<ChangeFeed['changes']>>;

/** A request for changes from one entry to another. */
interface ChangesRequest {
  readonly after: Revision;
  readonly waitMs: Ms;
}

/** Options of a shared feed. */
interface SharedFeedOptions {
  readonly feed: ChangeFeed;
  readonly codec: StateCodec;
  readonly clock: Clock;
  readonly log: Log;
  /** Returns the entry that reads the store for all; undefined if there is none or it is this one. */
  readonly sharer: () => string | undefined;
  /** Sends the request; undefined without an answer within its wait and a margin. */
  readonly ask: (address: string, request: ChangesRequest) => Promise<Answer | undefined>;
}

const SHARED_WAIT_MS = 600;
/** How long an entry that did not answer, or was behind, is not used. */
const DISTRUST_MS = 3000;

/**
 * The store's changes, read by one entry for all. Each entry's own requests were most of the calls to the store:
 * 4,276 in a quiet run with 28 entries, and a seventh of that with 5. If the sharing entry does not answer, is behind
 * or is cut off from the store, this entry reads the store itself.
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

  async changes(prefix: string, after: Revision, waitMs: Ms): Promise<Answer> {
    const { clock, feed } = this.options;
    const isShared = this.isShared();
    const shared = await this.shared(after);
    if (shared) return shared;
    const sentAtMs = clock.nowMs();
    // The request to the other entry has waited already.
    const answer = await feed.changes(prefix, after, isShared ? 0 : waitMs);
    if (answer.ok) this.changeLog.add(after, answer.val, sentAtMs);
    return answer;
  }

  /** True if another entry reads the store for this one. */
  isShared(): boolean {
    return this.trusted() !== undefined;
  }

  /** Answers another entry's request: at once if there are changes or the state is too old, else after a wait. */
  answer({ after, waitMs }: ChangesRequest): Promise<Answer> {
    const { clock } = this.options;
    return new Promise((resolve) => {
      let isOver = false;
      let cancel = () => {};
      let cancelAge = () => {};
      let unwatch = () => {};
      const end = (answer: Answer) => {
        if (isOver) return;
        isOver = true;
        cancel();
        cancelAge();
        unwatch();
        resolve(answer);
      };
      const check = (isLast: boolean) => {
        const answer = this.changesAfter(after);
        if (answer.err || answer.val.changes.length > 0 || isLast) end(answer);
      };
      const checkAge = () => {
        if (isOver) return;
        const leftMs = MAX_SHARED_AGE_MS - this.changeLog.ageMs(clock.nowMs());
        if (leftMs < 0) check(true);
        else cancelAge = clock.after(leftMs + 1, checkAge);
      };
      check(false);
      if (isOver) return;
      unwatch = this.changeLog.watch(() => check(false));
      cancel = clock.after(waitMs, () => check(true));
      checkAge();
    });
  }

  private changesAfter(after: Revision): Answer {
    const ageMs = this.changeLog.ageMs(this.options.clock.nowMs());
    if (ageMs > MAX_SHARED_AGE_MS) {
      const detail = `This entry's state of the store is ${Math.round(ageMs)} ms old.`;
      return result.Err({ type: 'store-unavailable', detail });
    }
    const answer = this.changeLog.after(after);
    if (answer) return result.Ok(answer);
    const detail = `This entry does not keep changes after revision ${after}.`;
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

  private async shared(after: Revision): Promise<Answer | undefined> {
    const address = this.trusted();
    if (address === undefined) return undefined;
    const { clock, log, ask } = this.options;
    const answer = await ask(address, { after, waitMs: SHARED_WAIT_MS });
    if (answer?.ok) return answer;
    // An entry whose log does not reach back far enough is used again once this entry has read the missing changes from
    // the store.
    if (answer?.val.type === 'store-compacted') return undefined;
    this.distrusted = { address, untilMs: clock.nowMs() + DISTRUST_MS };
    const detail = answer?.val.detail ?? 'No answer.';
    log.warn('changes not shared', { address, after, detail, againInMs: DISTRUST_MS });
    return undefined;
  }
}
