import { Metadata } from '@grpc/grpc-js';
import type { Ms, ServiceId, UpstreamId } from '../../base/index.js';
import type { Context } from '../component/index.js';

const FIRST_DELAY_MS: Ms = 1_000;
const MAX_DELAY_MS: Ms = 8_000;
const TIMEOUT_MS: Ms = 1_500;

/** A suspect upstream and the address of its sidecar. */
interface Suspect {
  readonly service: ServiceId;
  readonly upstream: UpstreamId;
  readonly sidecarAddress: string;
}

/**
 * Probes the sidecars of suspect upstreams. Routing avoids these upstreams, so without probes their recovery would be
 * noticed only by chance.
 */
export class SuspectProbe {
  private readonly timers = new Map<UpstreamId, () => void>();

  constructor(
    private readonly context: Pick<Context, 'clock' | 'link'>,
    private readonly isSuspect: (suspect: Suspect) => boolean,
    private readonly report: (suspect: Suspect, type: 'heard' | 'failed') => void,
  ) {}

  /**
   * Probes the upstream until it is no longer suspect: first after one second, then with a delay that doubles up to eight
   * seconds as long as no answer arrives.
   */
  begin(suspect: Suspect, afterMs: Ms = FIRST_DELAY_MS): void {
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
      this.report(suspect, error ? 'failed' : 'heard');
      const nextDelayMs = error ? Math.min(MAX_DELAY_MS, afterMs * 2) : FIRST_DELAY_MS;
      if (this.isSuspect(suspect)) this.begin(suspect, nextDelayMs);
    });
  }
}
