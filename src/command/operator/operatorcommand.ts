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
import type { KeyValueStore } from '../../port/index.js';
import { loadSettings } from '../../shell/settings/index.js';
import { createStore } from '../../shell/store/index.js';
import { exitCodeOf } from './exitcodes.js';
import { operatorSchema } from './operatorschema.js';
import type { OperatorSettings } from './operatorsettings.js';

const STORE_DEFAULTS = { readsPerSecond: 20, writesPerSecond: 10, timeoutMs: 2000 };

/** A service as the store holds it. */
interface Held {
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

  /** The service's value in the store, or undefined if there is none. */
  protected async held(store: KeyValueStore, service: ServiceId): Promise<Held | undefined> {
    const got = await store.get(serviceKey(service));
    if (got.err) return this.stop(got.val);
    if (!got.val) return undefined;
    const stored = decodeStored(got.val.value);
    if (stored.err) return this.stop(stored.val);
    return { revision: got.val.revision, stored: stored.val };
  }

  protected async mustHold(store: KeyValueStore, service: ServiceId): Promise<Held> {
    const held = await this.held(store, service);
    if (held) return held;
    return this.stop({ type: 'service-unknown', detail: `The store holds no service ${service}.` });
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
