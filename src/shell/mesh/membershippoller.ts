import type { Ms } from '../../base/index.js';
import type { MeshEvent } from '../../core/mesh/index.js';
import type { MeshBoardOptions } from './meshboardoptions.js';

/** Polls the host list. After a failed read the last list stays in use. */
export class MembershipPoller {
  private stopped = false;

  private cancel: () => void = () => {};

  constructor(
    private readonly options: MeshBoardOptions,
    private readonly pollMs: Ms,
    private readonly emit: (event: MeshEvent) => void,
  ) {}

  start(): void {
    if (this.options.hostList) void this.poll();
  }

  stop(): void {
    this.stopped = true;
    this.cancel();
  }

  private async poll(): Promise<void> {
    const { hostList, region, clock, log } = this.options;
    const read = await hostList?.read();
    if (this.stopped) return;
    if (read?.err) log.warn('host list not read; keeping the last one', { failure: read.val.type });
    if (read?.ok) {
      const hosts = read.val.filter((host) => host.region === region);
      const entries = hosts
        .filter(({ role }) => role === 'entry')
        .map(({ id, address, state }) => ({ id, address, state }));
      this.emit({ type: 'hostList', entries, listedIds: hosts.map(({ id }) => id) });
      const own = hosts.find(({ id }) => id === this.options.hostId);
      if (own?.state === 'leaving') this.options.onLeaving?.();
    }
    this.cancel = clock.after(this.pollMs, () => {
      void this.poll();
    });
  }
}
