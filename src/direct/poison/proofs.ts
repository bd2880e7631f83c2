import type { Ms, ServiceId, TraitId } from '../../base/index.js';
import { poisonLimits } from './poisonlimits.js';

/** Software that a trait was found sound with. */
interface Software {
  readonly service: ServiceId;
  readonly softwareVersion: string | undefined;
}

/** The latest run that proved each trait sound, as evidence against later crashes. */
export class Proofs {
  /** When the answer of each began, by trait and software; the one recorded last is at the end. */
  private readonly beganAtMs = new Map<string, Ms>();

  record(trait: TraitId, software: Software, answerBeganAtMs: Ms): void {
    const key = this.keyOf(trait, software);
    const known = this.beganAtMs.get(key) ?? -Infinity;
    this.beganAtMs.delete(key);
    this.beganAtMs.set(key, Math.max(known, answerBeganAtMs));
    if (this.beganAtMs.size <= poisonLimits.maxProofs) return;
    const [oldest] = this.beganAtMs.keys();
    this.beganAtMs.delete(oldest!);
  }

  /** Returns when the answer of the latest proof began; undefined if none is kept. */
  latest(trait: TraitId, software: Software): Ms | undefined {
    return this.beganAtMs.get(this.keyOf(trait, software));
  }

  /** Removes old proofs. */
  expire(nowMs: Ms): void {
    for (const [key, beganAtMs] of this.beganAtMs) {
      if (beganAtMs > nowMs - poisonLimits.proofRetentionMs) return;
      this.beganAtMs.delete(key);
    }
  }

  private keyOf(trait: TraitId, { service, softwareVersion = '' }: Software): string {
    return `${trait} ${service} ${softwareVersion}`;
  }
}
