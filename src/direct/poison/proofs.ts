import type { Ms, ServiceId, TraitId } from '../../base/index.js';
import { poisonLimits } from './poisonlimits.js';

/** Software that a trait was found sound with. */
interface Software {
  readonly service: ServiceId;
  readonly softwareVersion: string | undefined;
}

/** A proof, with the time at which its place among the others was taken. */
interface KeptProof {
  beganAtMs: Ms;
  readonly placedAtMs: Ms;
}

/** A proof takes a new place this long after its last one. Moving a key on each proof makes a large `Map` rehash often. */
const REPLACE_AFTER_MS = 60_000;

/** The latest run that proved each trait sound, as evidence against later crashes. */
export class Proofs {
  /** By trait and software, roughly in the order of their latest proofs. */
  private readonly kept = new Map<string, KeptProof>();

  record(trait: TraitId, software: Software, answerBeganAtMs: Ms): void {
    const key = this.keyOf(trait, software);
    const known = this.kept.get(key);
    if (known && answerBeganAtMs - known.placedAtMs < REPLACE_AFTER_MS) {
      known.beganAtMs = Math.max(known.beganAtMs, answerBeganAtMs);
      return;
    }
    this.kept.delete(key);
    this.kept.set(key, { beganAtMs: answerBeganAtMs, placedAtMs: answerBeganAtMs });
    if (this.kept.size <= poisonLimits.maxProofs) return;
    const [oldest] = this.kept.keys();
    this.kept.delete(oldest!);
  }

  /** Returns when the answer of the latest proof began; undefined if none is kept. */
  latest(trait: TraitId, software: Software): Ms | undefined {
    return this.kept.get(this.keyOf(trait, software))?.beganAtMs;
  }

  /** Removes old proofs. */
  expire(nowMs: Ms): void {
    for (const [key, { beganAtMs }] of this.kept) {
      if (beganAtMs > nowMs - poisonLimits.proofRetentionMs) return;
      this.kept.delete(key);
    }
  }

  private keyOf(trait: TraitId, { service, softwareVersion = '' }: Software): string {
    return `${trait} ${service} ${softwareVersion}`;
  }
}
