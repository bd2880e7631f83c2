import type { ContentId, Ms } from '../../base/index.js';
import type { Caller } from '../caller.js';
import type { PoisonDesk } from '../poison/index.js';
import type { Fleet, Need, UpstreamState } from '../route/index.js';
import { contentOf } from './contentof.js';

/** Whether a request may be sent to an upstream. */
type Standing =
  | 'free'
  /** An upstream ended under it before: the holder of orders is asked whether it may run now. */
  | 'ask-first'
  /** It ends the upstreams that run it. */
  | 'barred';

/** One request's standing after ends of upstreams under what it asks, on this entry or another. */
export class Suspicion {
  /** Made when it is first needed: on most days no request is suspected. */
  private named: ContentId | undefined;

  /** It was allowed to run: it does so now, and nowhere else. */
  isTrial = false;

  constructor(
    private readonly poison: PoisonDesk,
    private readonly request: Caller['request'],
  ) {}

  get content(): ContentId {
    this.named ??= contentOf(this.request);
    return this.named;
  }

  standing(): Standing {
    const { poison } = this;
    if (poison.isIdle) return 'free';
    const verdict = poison.verdict(this.content);
    if (verdict === 'poison') return 'barred';
    return verdict === 'sound' || this.isTrial ? 'free' : 'ask-first';
  }

  /** How long it is barred yet. */
  standsMs(): Ms {
    return this.poison.standsMs(this.content);
  }

  /** Asks whether it may run now. */
  async begin(): Promise<boolean> {
    this.isTrial = await this.poison.begin(this.content);
    return this.isTrial;
  }

  /** It runs no more. */
  end(): void {
    if (this.isTrial) this.poison.end(this.content);
  }

  /** What a request's log line says of it: nothing for most. */
  told(isBarred: boolean): { readonly isTrial?: boolean; readonly content?: ContentId } {
    if (!this.isTrial && !isBarred) return {};
    return { isTrial: this.isTrial, content: this.content };
  }

  /** An upstream gave a whole answer of its own. */
  ranWell(): void {
    if (!this.poison.isIdle) this.poison.ranWell(this.content);
  }

  /** An upstream closed the connection under it; one that was about to leave, or has left the list, ended as planned. */
  brokeOff(state: UpstreamState, need: Need, runMs: Ms, fleet: Fleet): void {
    const { id: upstream, isLeaving } = state.info;
    if (isLeaving || fleet.get(upstream) !== state) return;
    const [path = ''] = this.request.path.split('?');
    const { service, model } = need;
    const { content, isTrial } = this;
    this.poison.crashed({ content, service, model, path, upstream, runMs, isTrial });
  }
}
