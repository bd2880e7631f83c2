import { statSync } from 'node:fs';
import type { experimental } from '@grpc/grpc-js';
import type { Result } from 'ts-results';
import { result, type Failure } from '../../base/index.js';
import type { Log } from '../../port/index.js';
import type { KeyMaterial } from './keymaterial.js';
import type { KeySettings } from './keysettings.js';
import { readKeys } from './readkeys.js';

type Listener = (material: KeyMaterial) => void;

/** Returns a text that changes when any of the files is changed, replaced or removed. */
function stampOf(settings: KeySettings): string {
  const files = [settings.certificateFile, settings.keyFile, settings.caFile ?? ''];
  const stats = files.map((file) => statSync(file, { throwIfNoEntry: false }));
  return stats.map((stat) => `${stat?.mtimeMs}:${stat?.ino}:${stat?.size}`).join(' ');
}

/**
 * Certificate and key files that may be replaced while the process runs. If they cannot be used, for example while they
 * are being replaced, the last valid ones stay in use.
 */
export class KeyFiles implements experimental.CertificateProvider {
  private readonly listeners = new Map<unknown, Listener>();

  private readonly timer: NodeJS.Timeout;

  private stamp: string;

  private constructor(
    private readonly settings: KeySettings,
    private readonly log: Log,
    private material: KeyMaterial,
  ) {
    this.stamp = stampOf(settings);
    this.timer = setInterval(() => this.reload(), settings.reloadMs);
    this.timer.unref();
  }

  /** Reads the files and checks them for changes until `close`. */
  static open(settings: KeySettings, log: Log): Result<KeyFiles, Failure> {
    const read = readKeys(settings);
    if (read.err) return read;
    return result.Ok(new KeyFiles(settings, log, read.val));
  }

  current(): KeyMaterial {
    return this.material;
  }

  /** Calls `listener` with the current keys and after each reload. */
  subscribe(listener: Listener): void {
    this.listen(listener, listener);
  }

  addCaCertificateListener(listener: experimental.CaCertificateUpdateListener): void {
    this.listen(listener, ({ caCertificate }) => {
      listener(caCertificate ? { caCertificate } : null);
    });
  }

  removeCaCertificateListener(listener: experimental.CaCertificateUpdateListener): void {
    this.listeners.delete(listener);
  }

  addIdentityCertificateListener(listener: experimental.IdentityCertificateUpdateListener): void {
    this.listen(listener, (material) => listener(material));
  }

  removeIdentityCertificateListener(
    listener: experimental.IdentityCertificateUpdateListener,
  ): void {
    this.listeners.delete(listener);
  }

  /** Reloads the files if they have changed. */
  reload(): void {
    const stamp = stampOf(this.settings);
    if (stamp === this.stamp) return;
    const read = readKeys(this.settings);
    if (read.err) {
      this.log.warn('keys not reloaded', { ...read.val });
      return;
    }
    this.stamp = stamp;
    this.material = read.val;
    this.log.info('keys reloaded', { certificateFile: this.settings.certificateFile });
    for (const listener of this.listeners.values()) listener(read.val);
  }

  close(): void {
    clearInterval(this.timer);
    this.listeners.clear();
  }

  private listen(key: unknown, listener: Listener): void {
    this.listeners.set(key, listener);
    // Deferred: grpc-js cannot handle the call before its own registration has returned.
    queueMicrotask(() => this.listeners.get(key)?.(this.material));
  }
}
