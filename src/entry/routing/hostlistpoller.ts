import type { Ms } from '../../base/index.js';
import type { MemberEvent } from '../../core/member/index.js';
import type { ServiceDocument } from '../../core/document/index.js';
import type { HostList } from '../../port/index.js';
import type { Context } from '../component/index.js';

type Hosts = Extract<Awaited<ReturnType<HostList['read']>>, { ok: true }>['val'];
type ListedEvent = Extract<MemberEvent, { type: 'listed' }>;

/** Returns the listed hosts of one service's upstreams, matched by the addresses of their sidecars. */
function listedEvent(document: ServiceDocument, hosts: Hosts): ListedEvent {
  const states = new Map(hosts.map(({ address, state }) => [address, state]));
  const upstreams = document.groups.flatMap((group) => group.upstreams);
  const listed = upstreams.flatMap(({ id, sidecarAddress }) => {
    const state = states.get(sidecarAddress);
    return state ? [{ upstream: id, state }] : [];
  });
  return { type: 'listed', hosts: listed };
}

/** Polls the platform's host list and reports it to membership. A failed read is ignored: it implies nothing about hosts. */
export class HostListPoller {
  private stopped = false;

  private cancel = () => {};

  constructor(
    private readonly context: Pick<Context, 'clock'>,
    private readonly hostList: HostList,
    private readonly pollMs: Ms,
    private readonly documents: () => readonly ServiceDocument[],
    private readonly report: (service: ServiceDocument['service'], event: ListedEvent) => void,
  ) {}

  async poll(): Promise<void> {
    const read = await this.hostList.read();
    if (this.stopped) return;
    if (read.ok) {
      for (const document of this.documents()) {
        this.report(document.service, listedEvent(document, read.val));
      }
    }
    this.cancel = this.context.clock.after(this.pollMs, () => {
      void this.poll();
    });
  }

  stop(): void {
    this.stopped = true;
    this.cancel();
  }
}
