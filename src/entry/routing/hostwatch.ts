import type { Ms } from '../../base/index.js';
import type { MemberEvent } from '../../core/member/index.js';
import type { ServiceDocument } from '../../core/document/index.js';
import type { HostList } from '../../port/index.js';
import type { Context } from '../part/index.js';

type Hosts = Extract<Awaited<ReturnType<HostList['read']>>, { ok: true }>['val'];
type Listed = Extract<MemberEvent, { type: 'listed' }>;

/** The part of a reading that concerns a service: its upstreams, known by their sidecars' addresses. */
function listedOf(document: ServiceDocument, hosts: Hosts): Listed {
  const states = new Map(hosts.map(({ address, state }) => [address, state]));
  const upstreams = document.groups.flatMap((group) => group.upstreams);
  const listed = upstreams.flatMap(({ id, sidecarAddress }) => {
    const state = states.get(sidecarAddress);
    return state ? [{ upstream: id, state }] : [];
  });
  return { type: 'listed', hosts: listed };
}

/** Reads the platform's host list again and again for membership; a failed reading says nothing. */
export class HostWatch {
  private stopped = false;

  private cancel = () => {};

  constructor(
    private readonly context: Pick<Context, 'clock'>,
    private readonly hostList: HostList,
    private readonly pollMs: Ms,
    private readonly documents: () => readonly ServiceDocument[],
    private readonly tell: (service: ServiceDocument['service'], event: Listed) => void,
  ) {}

  async poll(): Promise<void> {
    const read = await this.hostList.read();
    if (this.stopped) return;
    if (read.ok) {
      for (const document of this.documents()) {
        this.tell(document.service, listedOf(document, read.val));
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
