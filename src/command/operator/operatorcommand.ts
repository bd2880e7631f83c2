import { userInfo } from 'node:os';
import { Command, Flags } from '@oclif/core';
import {
  FailureError,
  result,
  systemClock,
  type Failure,
  type Revision,
  type ServiceId,
} from '../../base/index.js';
import { decodeStored, serviceKey, type StoredService } from '../../core/acceptance/index.js';
import type { KeyValue, KeyValueStore } from '../../port/index.js';
import { loadSettings } from '../../shell/settings/index.js';
import { createStore } from '../../shell/store/index.js';
import { exitCodeOf } from './exitcodes.js';
import { operatorSchema } from './operatorschema.js';
import type { OperatorSettings } from './operatorsettings.js';

const STORE_DEFAULTS = { readsPerSecond: 20, writesPerSecond: 10, timeoutMs: 2000 };

/** A service as the store holds it. */
interface Held {
  readonly region: string;
  readonly revision: Revision;
  readonly stored: StoredService;
}

/** Flags of every operators' command, as parsed. */
interface OperatorFlags {
  readonly store?: string[];
  readonly entry?: string[];
  readonly settings?: string;
}

/** What the operators' commands share: where store and entries are, and how failures are told. */
export abstract class OperatorCommand extends Command {
  static override enableJsonFlag = true;

  static override baseFlags = {
    store: Flags.string({
      multiple: true,
      multipleNonGreedy: true,
      description: 'URL of the key-value service [env: TARRAGONSTILE_STORE, comma-separated]',
    }),
    entry: Flags.string({
      multiple: true,
      multipleNonGreedy: true,
      description: 'URL of an entry',
    }),
    settings: Flags.string({
      env: 'TARRAGONSTILE_SETTINGS',
      description: 'settings file with store, entries and team (JSON with comments)',
    }),
  };

  /** Ends the command with a typed failure. */
  protected stop(failure: Failure): never {
    throw new FailureError(failure);
  }

  protected settingsFrom(flags: OperatorFlags): OperatorSettings {
    const loaded = flags.settings
      ? loadSettings(flags.settings, operatorSchema)
      : result.Ok<OperatorSettings>({ entries: [] });
    if (loaded.err) return this.stop(loaded.val);
    const settings = loaded.val;
    const urls = flags.store ?? process.env.TARRAGONSTILE_STORE?.split(',');
    const store = urls ? { ...STORE_DEFAULTS, urls } : settings.store;
    return { ...settings, store, entries: flags.entry ?? settings.entries };
  }

  protected storeFrom(flags: OperatorFlags): KeyValueStore {
    return createStore(this.settingsFrom(flags).store, systemClock);
  }

  /** The service's value in the store for a region, or undefined if there is none. */
  protected async held(
    store: KeyValueStore,
    service: ServiceId,
    region: string,
  ): Promise<Held | undefined> {
    const got = await store.get(serviceKey.of({ region, service }));
    if (got.err) return this.stop(got.val);
    return got.val ? this.heldIn(region, got.val) : undefined;
  }

  /** The service's values in all regions; reads all documents of the store. */
  protected async holders(store: KeyValueStore, service: ServiceId): Promise<readonly Held[]> {
    const listed = await store.list(serviceKey.all);
    if (listed.err) return this.stop(listed.val);
    return listed.val.items.flatMap((item) => {
      const place = serviceKey.read(item.key);
      return place?.service === service ? [this.heldIn(place.region, item)] : [];
    });
  }

  /** The service's value in the region that is given, or else in the only one that has it. */
  protected async mustHold(
    store: KeyValueStore,
    service: ServiceId,
    region: string | undefined,
  ): Promise<Held> {
    const given = region === undefined ? undefined : await this.held(store, service, region);
    const found = given ? [given] : await this.holders(store, service);
    const regions = found.map((held) => held.region).join(', ');
    const [only] = found;
    if (!only) {
      const detail = `The store holds no service ${service}.`;
      return this.stop({ type: 'service-unknown', detail });
    }
    if (region !== undefined && !given) {
      const detail = `The store holds no service ${service} in ${region}; it is in ${regions}.`;
      return this.stop({ type: 'service-unknown', detail });
    }
    if (found.length === 1) return only;
    const detail = `${service} is in ${found.length} regions: ${regions}. Name one with --region.`;
    return this.stop({ type: 'region-ambiguous', detail });
  }

  private heldIn(region: string, { value, revision }: KeyValue): Held {
    const stored = decodeStored(value);
    if (stored.err) return this.stop(stored.val);
    return { region, revision, stored: stored.val };
  }

  protected operatorName(): string {
    return process.env.TARRAGONSTILE_OPERATOR ?? userInfo().username;
  }

  protected override catch(error: Error): Promise<unknown> {
    if (error instanceof FailureError) process.exitCode = exitCodeOf(error.failure.type);
    return super.catch(error);
  }

  protected override toErrorJson(error: unknown): unknown {
    return { error: error instanceof FailureError ? error.failure : { detail: String(error) } };
  }
}
