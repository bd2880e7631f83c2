import { renameSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Proxy, type ProxyMode } from './proxy.js';

const PRELOAD = join(import.meta.dirname, 'relaypreload.js');

/** Proxies between entries, one for each ordered pair, so that single entries can be cut off from the others. */
export class PeerRelays {
  private readonly proxies: { readonly from: string; readonly to: string; proxy: Proxy }[] = [];

  /** Opens the proxies to the entries' ports and writes where each entry finds the others, before any entry starts. */
  async open(ports: ReadonlyMap<string, number>, directory: string): Promise<void> {
    const relays: Record<string, Record<string, number>> = {};
    for (const from of ports.keys()) {
      const ways: Record<string, number> = {};
      relays[from] = ways;
      for (const [to, port] of ports) {
        if (to === from) continue;
        const proxy = new Proxy(port);
        ways[port] = Number((await proxy.listen()).split(':')[1]);
        this.proxies.push({ from, to, proxy });
      }
    }
    const file = join(directory, 'peer-relays.json');
    writeFileSync(`${file}.new`, JSON.stringify(relays));
    renameSync(`${file}.new`, file);
  }

  /** Returns the command of an entry whose connections to the other entries go through the proxies. */
  static command([node = '', ...args]: readonly string[]): readonly string[] {
    return [node, '--import', PRELOAD, ...args];
  }

  /** Cuts an entry off from all others, in both directions. */
  cut(entry: string, mode: ProxyMode): void {
    for (const { from, to, proxy } of this.proxies) {
      if (from !== entry && to !== entry) continue;
      proxy.mode = mode;
      // Connections that are open already would go on.
      if (mode === 'refuse') proxy.reset();
    }
  }

  /** Ends a cut. Connections from before it are reset, as their data is incomplete. */
  heal(entry: string): void {
    for (const { from, to, proxy } of this.proxies) {
      if (from !== entry && to !== entry) continue;
      proxy.mode = 'pass';
      proxy.reset();
    }
  }

  close(): void {
    for (const { proxy } of this.proxies) proxy.close();
  }
}
