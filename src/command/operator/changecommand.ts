import { customAlphabet } from 'nanoid';
import {
  systemClock,
  type ChangeId,
  type Ms,
  type Revision,
  type ServiceId,
} from '../../base/index.js';
import {
  createAcceptance,
  decodeStored,
  rejections,
  serviceKey,
  type AcceptanceFailure,
  type Accepted,
  type Change,
} from '../../core/acceptance/index.js';
import { readDocument, type ServiceDocument } from '../../core/document/index.js';
import type { KeyValueStore } from '../../port/index.js';
import { acceptChange, sha256 } from '../../shell/acceptance/index.js';
import { createLog } from '../../shell/log/index.js';
import { createStore } from '../../shell/store/index.js';
import { awaitInForce } from './awaitinforce.js';
import type { Place } from './place.js';
import { OperatorCommand } from './operatorcommand.js';

const CHANGE_ID_LENGTH = 12;

/** Uses only characters that are not special to a shell or a flag parser. */
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

/** Result of a command that changes a document. */
interface ChangeResult extends Accepted {
  readonly service: ServiceId;
  readonly region: string;
  /** Processes that have the change in force; only with `--wait`. */
  readonly inForce?: readonly string[];
  /** Upstreams of the document whose sidecars no entry knows; only with `--wait`. */
  readonly unheard?: readonly string[];
}

function upstreamsOf({ groups }: ServiceDocument): readonly string[] {
  return groups.flatMap(({ upstreams }) => upstreams.map(({ id }) => id));
}

function placeText({ process, region, revision, detail }: Place): string {
  const where = region === '' ? '' : ` (${region})`;
  return `${process}${where}: ${detail ?? `at revision ${revision}`}`;
}

/** Base class of `apply` and `rollback`. */
export abstract class ChangeCommand extends OperatorCommand {
  protected async change(
    flags: ChangeFlags,
    { service, region }: Pick<Change, 'service' | 'region'>,
    source: Change['source'],
  ): Promise<ChangeResult> {
    const settings = this.settingsFrom(flags);
    if (flags.wait && settings.entries.length === 0) {
      this.error('--wait needs entries: give --entry or a settings file', { exit: 2 });
    }
    const store = createStore(settings.store, systemClock);
    const isNew = flags.expect === 0;
    const ownerElsewhere = isNew ? await this.ownerElsewhere(store, service, region) : undefined;
    const change: Change = {
      service,
      region,
      ownerElsewhere,
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
      store,
      clock: systemClock,
      log: (entries) => {
        for (const entry of entries) log.info('audit entry leaves the store', { service, entry });
      },
    });
    if (outcome.err) return this.failChange(store, change, outcome.val);
    const { revision, changeId } = outcome.val;
    this.log(`${service} is accepted at revision ${revision}, change ${changeId}`);
    if (!flags.wait) return { service, region, ...outcome.val };
    return this.waitUntilInForce(store, settings.entries, flags['wait-ms'], {
      service,
      region,
      ...outcome.val,
    });
  }

  /** Returns the owner of the service's documents in other regions. */
  private async ownerElsewhere(
    store: KeyValueStore,
    service: ServiceId,
    region: string,
  ): Promise<string | undefined> {
    const others = await this.findInAllRegions(store, service);
    const other = others.find((held) => held.region !== region);
    const document = other ? readDocument(other.stored.document) : undefined;
    return document?.ok ? document.val.owner : undefined;
  }

  /** Fails the command for a rejected change; says so if the change would have moved the document to another region. */
  private async failChange(
    store: KeyValueStore,
    { service, region }: Change,
    failure: AcceptanceFailure,
  ): Promise<never> {
    if (failure.type !== 'revision-conflict' || failure.currentRevision > 0) {
      return this.stop(failure);
    }
    const others = await this.findInAllRegions(store, service);
    const other = others.find((held) => held.region !== region);
    if (!other) return this.stop(failure);
    return this.stop(rejections.regionChanged({ service, region: other.region }, region));
  }

  /** Waits until an accepted change is in force. A failure here does not undo the change. */
  private async waitUntilInForce(
    store: KeyValueStore,
    entries: readonly string[],
    waitMs: Ms,
    accepted: ChangeResult,
  ): Promise<ChangeResult> {
    const { service, revision } = accepted;
    const document = await this.documentOf(store, accepted);
    const awaited = { service, region: document.region, revision };
    const places = await awaitInForce(entries, awaited, waitMs, systemClock);
    if (places.length === 0) {
      return this.failNotInForce(accepted, `none of the entries given is of ${document.region}`);
    }
    const inForce = places.filter((place) => place.inForce).map(({ process }) => process);
    const unheard = upstreamsOf(document).filter(
      (upstream) => !places.some(({ process }) => process === upstream),
    );
    if (unheard.length > 0) this.log(`no entry has heard of ${unheard.join(', ')}`);
    if (inForce.length < places.length) {
      const behind = places.filter((place) => !place.inForce).map(placeText);
      const known = `in force at ${inForce.join(', ') || 'none'}`;
      return this.failNotInForce(accepted, `${known}; not known to be at ${behind.join('; ')}`);
    }
    this.log(`in force at ${inForce.join(', ')}`);
    return { ...accepted, inForce, unheard };
  }

  private async documentOf(store: KeyValueStore, accepted: ChangeResult): Promise<ServiceDocument> {
    const got = await store.get(serviceKey.of(accepted));
    if (got.err) return this.failNotInForce(accepted, got.val.detail);
    const stored = decodeStored(got.val?.value ?? '');
    if (stored.err) return this.failNotInForce(accepted, stored.val.detail);
    const document = readDocument(stored.val.document);
    if (document.err) return this.failNotInForce(accepted, document.val.detail);
    return document.val;
  }

  private failNotInForce({ service, revision, changeId }: ChangeResult, why: string): never {
    const detail = `${service} is accepted at revision ${revision} (change ${changeId}); ${why}`;
    return this.stop({ type: 'not-in-force-everywhere', detail });
  }
}
