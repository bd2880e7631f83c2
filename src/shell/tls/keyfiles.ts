import { statSync } from 'node:fs';
import type { experimental } from '@grpc/grpc-js';
import type { Result } from 'ts-results';
import { result, type Failure } from '../../base/index.js';
import type { Log } from '../../port/index.js';
import type { KeyMaterial } from './keymaterial.js';
import type { KeySettings } from './keysettings.js';
import { readKeys } from './readkeys.js';

type Tell = (material: KeyMaterial) => void;

/** Tells whether any of the files has changed: their times of change, or why one cannot be read. */
function stampOf(settings: KeySettings): string {
  const files = [settings.certificateFile, settings.keyFile, settings.caFile ?? ''];
  const stats = files.map((file) => statSync(file, { throwIfNoEntry: false }));
  return stats.map((stat) => `${stat?.mtimeMs}:${stat?.ino}:${stat?.size}`).join(' ');
}

/**
 * A certificate and key that may be replaced while the process runs. Files that cannot be used, for
 * example while they are being replaced, leave the last good ones in force.
 */
export class KeyFiles implements experimental.CertificateProvider {
  private readonly listeners = new Map<unknown, Tell>();

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

  /** Reads the files and watches them until `close`. */
  static open(settings: KeySettings, log: Log): Result<KeyFiles, Failure> {
    const read = readKeys(settings);
    if (read.err) return read;
    return result.Ok(new KeyFiles(settings, log, read.val));
  }

  current(): KeyMaterial {
    return this.material;
  }

  /** Calls `tell` with the keys now, and with each later pair. */
  follow(tell: Tell): void {
    this.listen(tell, tell);
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

  /** Reads the files again if they have changed. */
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
    for (const tell of this.listeners.values()) tell(read.val);
  }

  close(): void {
    clearInterval(this.timer);
    this.listeners.clear();
  }

  private listen(listener: unknown, tell: Tell): void {
    this.listeners.set(listener, tell);
    // Not at once: the gRPC library is not ready to hear of it before it has returned.
    queueMicrotask(() => this.listeners.get(listener)?.(this.material));
  }
}
