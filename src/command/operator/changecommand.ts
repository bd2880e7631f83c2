import { customAlphabet } from 'nanoid';
import { systemClock, type ChangeId, type Revision, type ServiceId } from '../../base/index.js';
import { createAcceptance, type Accepted, type Change } from '../../core/acceptance/index.js';
import { readDocument } from '../../core/document/index.js';
import { acceptChange, sha256 } from '../../shell/acceptance/index.js';
import { createLog } from '../../shell/log/index.js';
import { createStore } from '../../shell/store/index.js';
import { awaitInForce } from './awaitinforce.js';
import { OperatorCommand } from './operatorcommand.js';

const CHANGE_ID_LENGTH = 12;

/** Ids without characters that a shell or a flag parser would take for something else. */
const newChangeId = customAlphabet('0123456789abcdefghijklmnopqrstuvwxyz', CHANGE_ID_LENGTH);

/** Flags of a command that changes a document, as parsed. */
interface ChangeFlags {
  readonly store?: string[];
  readonly entry?: string[];
  readonly settings?: string;
  readonly expect: number;
  readonly cause: string;
  readonly team?: string;
  readonly 'change-id'?: string;
  readonly wait: boolean;
  readonly 'wait-ms': number;
}

/** What a changing command tells. */
interface Told extends Accepted {
  readonly service: string;
  /** Processes that have the change in force, if it was waited for. */
  readonly inForce?: readonly string[];
}

/** What `apply` and `rollback` share. */
export abstract class ChangeCommand extends OperatorCommand {
  protected async change(
    flags: ChangeFlags,
    service: ServiceId,
    source: Change['source'],
  ): Promise<Told> {
    const settings = this.settingsFrom(flags);
    if (flags.wait && settings.entries.length === 0) {
      this.error('--wait needs entries: give --entry or a settings file', { exit: 2 });
    }
    const change: Change = {
      service,
      source,
      changeId: (flags['change-id'] ?? newChangeId()) as ChangeId,
      expectedRevision: flags.expect as Revision,
      who: this.operatorName(),
      team: flags.team ?? settings.team ?? undefined,
      cause: flags.cause,
      atMs: systemClock.wallMs(),
    };
    const log = createLog('operator', 'info');
    const outcome = await acceptChange(createAcceptance(change, sha256), {
      store: createStore(settings.store, systemClock),
      clock: systemClock,
      log: (entries) => {
        for (const entry of entries) log.info('audit entry leaves the store', { service, entry });
      },
    });
    if (outcome.err) return this.stop(outcome.val);
    const { revision, changeId } = outcome.val;
    this.log(`${service} is accepted at revision ${revision}, change ${changeId}`);
    if (!flags.wait) return { service, ...outcome.val };
    return this.waited(flags, service, outcome.val);
  }

  private async waited(flags: ChangeFlags, service: ServiceId, accepted: Accepted): Promise<Told> {
    const settings = this.settingsFrom(flags);
    const held = await this.mustHold(createStore(settings.store, systemClock), service);
    const document = readDocument(held.stored.document);
    const region = document.ok ? document.val.region : '';
    const awaited = { service, region, revision: accepted.revision };
    const places = await awaitInForce(settings.entries, awaited, flags['wait-ms'], systemClock);
    const inForce = places.filter((place) => place.inForce).map(({ process }) => process);
    const behind = places.filter((place) => !place.inForce);
    if (behind.length === 0) {
      this.log(`in force at all ${inForce.length}: ${inForce.join(', ')}`);
      return { service, ...accepted, inForce };
    }
    const missing = behind.map(
      ({ process, region: where, revision, detail }) =>
        `${process}${where && ` (${where})`}: ${detail ?? `at revision ${revision}`}`,
    );
    const detail =
      `${service} is accepted at revision ${accepted.revision} (change ${accepted.changeId}); in force ` +
      `at ${inForce.join(', ') || 'none'}; not known to be at ${missing.join('; ')}`;
    return this.stop({ type: 'not-in-force-everywhere', detail });
  }
}
