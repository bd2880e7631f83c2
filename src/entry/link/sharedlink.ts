import { credentials } from '@grpc/grpc-js';
import { channelOptions } from '../../shell/rpc/index.js';
import { WorkClient, type RequestHead } from '../../wire/index.js';
import type { Link } from './link.js';
import type { SentAttempt } from './sentattempt.js';
import type { LinkOptions } from './linkoptions.js';
import { SidecarStream } from './sidecarstream.js';
import type { FrameReceiver } from './framereceiver.js';

const IDLE_MS = 60_000;

/** Connections to sidecars with one long-lived stream each, which all requests to that sidecar share. */
export class SharedLink implements Link {
  private readonly clients = new Map<string, WorkClient>();

  private readonly streams = new Map<string, SidecarStream>();

  private cancelSweep: () => void;

  constructor(private readonly options: LinkOptions) {
    this.cancelSweep = this.scheduleSweep();
  }

  ask(
    sidecarAddress: string,
    requestId: string,
    attempt: number,
    head: RequestHead,
    receiver: FrameReceiver,
  ): SentAttempt {
    return this.peer(sidecarAddress).ask(requestId, attempt, head, receiver);
  }

  client(sidecarAddress: string): WorkClient {
    const known = this.clients.get(sidecarAddress);
    if (known) return known;
    const created = new WorkClient(
      sidecarAddress,
      this.options.credentials ?? credentials.createInsecure(),
      channelOptions.client,
    );
    this.clients.set(sidecarAddress, created);
    return created;
  }

  close(): void {
    this.cancelSweep();
    for (const peer of this.streams.values()) peer.close();
    for (const client of this.clients.values()) client.close();
  }

  private peer(address: string): SidecarStream {
    const known = this.streams.get(address);
    if (known?.isUsable()) return known;
    const created = new SidecarStream(address, this.client(address).exchange(), this.options);
    this.streams.set(address, created);
    return created;
  }

  private scheduleSweep(): () => void {
    const idleMs = this.options.idleMs ?? IDLE_MS;
    return this.options.clock.after(idleMs, () => {
      this.sweep(idleMs);
      this.cancelSweep = this.scheduleSweep();
    });
  }

  private sweep(idleMs: number): void {
    const before = this.options.clock.nowMs() - idleMs;
    for (const [address, peer] of this.streams) {
      if (peer.idleSinceMs() > before) continue;
      peer.drain();
      this.streams.delete(address);
      this.clients.get(address)?.close();
      this.clients.delete(address);
    }
  }
}
