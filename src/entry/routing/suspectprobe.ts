import { Metadata } from '@grpc/grpc-js';
import type { Ms, ServiceId, UpstreamId } from '../../base/index.js';
import type { Context } from '../part/index.js';

const FIRST_MS: Ms = 1_000;
const LONGEST_MS: Ms = 8_000;
const TIMEOUT_MS: Ms = 1_500;

/** An upstream in doubt, and how its sidecar is reached. */
interface Suspect {
  readonly service: ServiceId;
  readonly upstream: UpstreamId;
  readonly sidecarAddress: string;
}

/**
 * Asks the sidecars of upstreams in doubt whether they live. Routing avoids them, so without this an
 * upstream that is back would be heard of only by chance.
 */
export class SuspectProbe {
  private readonly timers = new Map<UpstreamId, () => void>();

  constructor(
    private readonly context: Pick<Context, 'clock' | 'link'>,
    private readonly isSuspect: (suspect: Suspect) => boolean,
    private readonly tell: (suspect: Suspect, sign: 'heard' | 'failed') => void,
  ) {}

  /** Asks until the doubt is over: after a second at first, then less often while nobody answers. */
  begin(suspect: Suspect, afterMs: Ms = FIRST_MS): void {
    this.timers.get(suspect.upstream)?.();
    const cancel = this.context.clock.after(afterMs, () => {
      this.timers.delete(suspect.upstream);
      if (this.isSuspect(suspect)) this.ask(suspect, afterMs);
    });
    this.timers.set(suspect.upstream, cancel);
  }

  stop(): void {
    for (const cancel of this.timers.values()) cancel();
    this.timers.clear();
  }

  private ask(suspect: Suspect, afterMs: Ms): void {
    const { clock, link } = this.context;
    const deadline = clock.wallMs() + TIMEOUT_MS;
    const client = link.client(suspect.sidecarAddress);
    client.describe({}, new Metadata(), { deadline }, (error) => {
      this.tell(suspect, error ? 'failed' : 'heard');
      const nextMs = error ? Math.min(LONGEST_MS, afterMs * 2) : FIRST_MS;
      if (this.isSuspect(suspect)) this.begin(suspect, nextMs);
    });
  }
}
