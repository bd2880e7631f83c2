import { serviceKey } from '../core/acceptance/index.js';
import { queryEntries, type EntryReport } from '../shell/entries/index.js';
import { OperatorCommand } from './operator/operatorcommand.js';

/** Revision of a service's document in the store. */
interface StoredDocument {
  readonly service: string;
  readonly region: string;
  readonly revision: number;
}

/** Documents in the store, or why they could not be read. */
type StoreView =
  | { readonly type: 'read'; readonly services: readonly StoredDocument[] }
  | { readonly type: 'unread'; readonly detail: string };

/** `tarragonstile status`: prints the revision in force at each process. */
export default class StatusCommand extends OperatorCommand {
  static override description =
    'Prints the revision in force at each process; works while the store is down.';

  async run(): Promise<unknown> {
    const { flags } = await this.parse(StatusCommand);
    const { entries } = this.settingsFrom(flags);
    const [store, reports] = await Promise.all([this.readStore(flags), queryEntries(entries)]);
    this.printStore(store);
    for (const report of reports) this.printEntry(report);
    return { store, entries: reports };
  }

  private async readStore(flags: Parameters<StatusCommand['storeFrom']>[0]): Promise<StoreView> {
    const listed = await this.storeFrom(flags).list(serviceKey.all);
    if (listed.err) return { type: 'unread', detail: listed.val.detail };
    const services = listed.val.items.flatMap(({ key, revision }) => {
      const place = serviceKey.read(key);
      return place ? [{ ...place, revision: Number(revision) }] : [];
    });
    return { type: 'read', services };
  }

  private printStore(store: StoreView): void {
    if (store.type === 'unread') {
      this.log(`store: ${store.detail}`);
      return;
    }
    for (const { service, region, revision } of store.services) {
      this.log(`store: ${service} (${region}) at revision ${revision}`);
    }
  }

  private printEntry(report: EntryReport): void {
    if (report.type === 'unreachable') {
      this.log(`entry ${report.url}: unreachable: ${report.detail}`);
      return;
    }
    const { hostId, region, phase, relay, documents, upstreams, suspects } = report.status;
    const held = documents.map(({ service, revision }) => `${service} ${revision}`).join(', ');
    const role = relay ? `, relay (store: ${report.status.store})` : '';
    this.log(`entry ${hostId} (${region}): ${phase}${role}: ${held || 'no document'}`);
    if (suspects.length > 0) this.log(`  cannot reach ${suspects.join(', ')}`);
    for (const { service, upstream, incarnation, phase: state, revision } of upstreams) {
      const identity = `incarnation ${incarnation}`;
      this.log(`  sidecar ${upstream} (${service}): ${state}, ${identity}, revision ${revision}`);
    }
  }
}
