import { credentials } from '@grpc/grpc-js';
import { channelOptions } from '../../shell/rpc/index.js';
import { WorkClient, type RequestHead } from '../../wire/index.js';
import type { Link } from './link.js';
import type { Asked } from './asked.js';
import type { LinkOptions } from './linkoptions.js';
import { Peer } from './peer.js';
import type { Receiver } from './receiver.js';

const IDLE_MS = 60_000;

/** One long-lived stream for each sidecar, which all requests to it share. */
export class SharedLink implements Link {
  private readonly clients = new Map<string, WorkClient>();

  private readonly peers = new Map<string, Peer>();

  private forgetSweep: () => void;

  constructor(private readonly options: LinkOptions) {
    this.forgetSweep = this.sweepLater();
  }

  ask(
    sidecarAddress: string,
    requestId: string,
    attempt: number,
    head: RequestHead,
    receiver: Receiver,
  ): Asked {
    return this.peer(sidecarAddress).ask(requestId, attempt, head, receiver);
  }

  client(sidecarAddress: string): WorkClient {
    const known = this.clients.get(sidecarAddress);
    if (known) return known;
    const made = new WorkClient(
      sidecarAddress,
      this.options.credentials ?? credentials.createInsecure(),
      channelOptions.client,
    );
    this.clients.set(sidecarAddress, made);
    return made;
  }

  close(): void {
    this.forgetSweep();
    for (const peer of this.peers.values()) peer.close();
    for (const client of this.clients.values()) client.close();
  }

  private peer(address: string): Peer {
    const known = this.peers.get(address);
    if (known?.usable()) return known;
    const made = new Peer(address, this.client(address).exchange(), this.options);
    this.peers.set(address, made);
    return made;
  }

  private sweepLater(): () => void {
    const idleMs = this.options.idleMs ?? IDLE_MS;
    return this.options.clock.after(idleMs, () => {
      this.sweep(idleMs);
      this.forgetSweep = this.sweepLater();
    });
  }

  private sweep(idleMs: number): void {
    const before = this.options.clock.nowMs() - idleMs;
    for (const [address, peer] of this.peers) {
      if (peer.idleSinceMs() > before) continue;
      peer.leave();
      this.peers.delete(address);
      this.clients.get(address)?.close();
      this.clients.delete(address);
    }
  }
}
