import { serviceKey } from '../core/acceptance/index.js';
import { askEntries, type EntryReport } from '../shell/entries/index.js';
import { OperatorCommand } from './operator/operatorcommand.js';

/** A service's document in the store. */
interface Held {
  readonly service: string;
  readonly region: string;
  readonly revision: number;
}

/** A service's revision in the store, or why it is not known. */
type StoreView =
  | { readonly type: 'read'; readonly services: readonly Held[] }
  | { readonly type: 'unread'; readonly detail: string };

/** `tarragonstile status`: which process is at which revision. */
export default class StatusCommand extends OperatorCommand {
  static override description =
    'Prints which process has which revision in force; works while the store is down.';

  async run(): Promise<unknown> {
    const { flags } = await this.parse(StatusCommand);
    const { entries } = this.settingsFrom(flags);
    const [store, reports] = await Promise.all([this.readStore(flags), askEntries(entries)]);
    this.tellStore(store);
    for (const report of reports) this.tellEntry(report);
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

  private tellStore(store: StoreView): void {
    if (store.type === 'unread') {
      this.log(`store: ${store.detail}`);
      return;
    }
    for (const { service, region, revision } of store.services) {
      this.log(`store: ${service} (${region}) at revision ${revision}`);
    }
  }

  private tellEntry(report: EntryReport): void {
    if (report.type === 'unreachable') {
      this.log(`entry ${report.url}: unreachable: ${report.detail}`);
      return;
    }
    const { hostId, region, phase, relay, documents, upstreams, suspects } = report.status;
    const held = documents.map(({ service, revision }) => `${service} ${revision}`).join(', ');
    const role = relay ? `, relay (store: ${report.status.store})` : '';
    this.log(`entry ${hostId} (${region}): ${phase}${role}: ${held || 'no document'}`);
    if (suspects.length > 0) this.log(`  does not reach ${suspects.join(', ')}`);
    for (const { service, upstream, incarnation, phase: state, revision } of upstreams) {
      const life = `incarnation ${incarnation}`;
      this.log(`  sidecar ${upstream} (${service}): ${state}, ${life}, revision ${revision}`);
    }
  }
}
