import type { ContentId, Ms, RequestId } from '../../base/index.js';
import type { Caller } from '../caller.js';
import type { PoisonGuard } from '../poison/index.js';
import type { Fleet, Target, UpstreamState } from '../route/index.js';
import { contentIdOf } from './contentidof.js';

/** Whether a request may be sent to an upstream. */
type Permission =
  | 'free'
  /** An upstream crashed while it ran the request: the order lease holder has to permit another run. */
  | 'ask-first'
  /** The request crashes the upstreams that run it. */
  | 'barred';

/** Whether one request is suspected, because upstreams crashed under the same content at any entry. */
export class Suspicion {
  /** Computed when first needed: usually no request is suspected. */
  private contentId: ContentId | undefined;

  /** True while the request runs as a trial, which excludes other runs of it. */
  isTrial = false;

  constructor(
    private readonly poison: PoisonGuard,
    private readonly request: Caller['request'],
  ) {}

  get content(): ContentId {
    this.contentId ??= contentIdOf(this.request);
    return this.contentId;
  }

  permission(): Permission {
    const { poison } = this;
    if (poison.isIdle) return 'free';
    const verdict = poison.verdict(this.content);
    if (verdict === 'poison') return 'barred';
    return verdict === 'sound' || this.isTrial ? 'free' : 'ask-first';
  }

  /** Returns how long it is still barred. */
  remainingMs(): Ms {
    return this.poison.verdictRemainingMs(this.content);
  }

  /** Asks for permission to run it as a trial. */
  async begin(): Promise<boolean> {
    this.isTrial = await this.poison.beginTrial(this.content);
    return this.isTrial;
  }

  /** Ends the trial, if there is one. */
  end(): void {
    if (this.isTrial) this.poison.end(this.content);
  }

  /** Returns fields for the request's log line: none for most requests. */
  logFields(isBarred: boolean): { readonly isTrial?: boolean; readonly content?: ContentId } {
    if (!this.isTrial && !isBarred) return {};
    return { isTrial: this.isTrial, content: this.content };
  }

  /** Records that an upstream gave a complete answer without a failure of its own. */
  recordCompletion(requestId: RequestId, status: number, hasLength: boolean): void {
    if (this.poison.isIdle) return;
    this.poison.recordCompletion(this.content, { requestId, status, hasLength });
  }

  /** Records a lost connection as a crash. If the upstream was leaving or has left the list, its end was planned. */
  recordBreak(state: UpstreamState, target: Target, runMs: Ms, fleet: Fleet): void {
    const { id: upstream, isLeaving } = state.info;
    if (isLeaving || fleet.get(upstream) !== state) return;
    const [path = ''] = this.request.path.split('?');
    const { service, model } = target;
    const { content, isTrial } = this;
    this.poison.recordCrash({ content, service, model, path, upstream, runMs, isTrial });
  }
}
