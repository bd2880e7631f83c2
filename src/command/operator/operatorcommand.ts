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

/** A service as stored for one region. */
interface HeldService {
  readonly region: string;
  readonly revision: Revision;
  readonly stored: StoredService;
}

/** Flags common to all operator commands, as parsed. */
interface OperatorFlags {
  readonly store?: string[];
  readonly entry?: string[];
  readonly settings?: string;
}

/** Base class of operator commands: locates the store and the entries, and reports failures. */
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

  /** Throws a typed failure, which ends the command. */
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

  /** Returns the stored service of a region, or undefined. */
  protected async held(
    store: KeyValueStore,
    service: ServiceId,
    region: string,
  ): Promise<HeldService | undefined> {
    const got = await store.get(serviceKey.of({ region, service }));
    if (got.err) return this.stop(got.val);
    return got.val ? this.decodeItem(region, got.val) : undefined;
  }

  /** Returns the stored service of each region; reads all documents in the store. */
  protected async findInAllRegions(
    store: KeyValueStore,
    service: ServiceId,
  ): Promise<readonly HeldService[]> {
    const listed = await store.list(serviceKey.all);
    if (listed.err) return this.stop(listed.val);
    return listed.val.items.flatMap((item) => {
      const place = serviceKey.read(item.key);
      return place?.service === service ? [this.decodeItem(place.region, item)] : [];
    });
  }

  /** Returns the stored service of the given region, or of the only region that has it. Fails if there is none. */
  protected async requireService(
    store: KeyValueStore,
    service: ServiceId,
    region: string | undefined,
  ): Promise<HeldService> {
    const given = region === undefined ? undefined : await this.held(store, service, region);
    const found = given ? [given] : await this.findInAllRegions(store, service);
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

  private decodeItem(region: string, { value, revision }: KeyValue): HeldService {
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
