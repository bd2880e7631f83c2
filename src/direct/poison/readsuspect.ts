import type { ServiceId, TraitId } from '../../base/index.js';
import type { Crash, CrashState, Suspect } from '../../core/poison/index.js';
import { shape } from '../../core/shape/index.js';

/** A suspect as earlier releases wrote it: known by its content only. */
interface EarlierSuspect {
  readonly content?: unknown;
}

const STATES: ReadonlySet<unknown> = new Set<CrashState>(['open', 'explained', 'ended', 'cleared']);

function isTraitList(value: unknown): value is readonly TraitId[] {
  return Array.isArray(value) && value.every((trait) => typeof trait === 'string');
}

function readCrash(value: Partial<Crash> | null, suspectService: ServiceId): Crash | undefined {
  if (
    typeof value?.upstream !== 'string' ||
    !shape.amount(value.runMs) ||
    !shape.probability(value.chance) ||
    typeof value.isTrial !== 'boolean' ||
    !STATES.has(value.state)
  ) {
    return undefined;
  }
  const { service = suspectService, softwareVersion } = value;
  const { hasPriorProof = false, companions = [] } = value;
  if (typeof service !== 'string' || !isTraitList(companions)) return undefined;
  const { upstream, runMs, chance, isTrial, state } = value as Crash;
  const seen = { upstream, service, softwareVersion, runMs, chance, isTrial };
  return { ...seen, state, hasPriorProof, companions };
}

/**
 * Decodes a suspect of another entry or of the store. Returns undefined if any part of it is malformed: every entry
 * reads every record, so a malformed one that was accepted could crash all entries.
 */
export function readSuspect(value: unknown): Suspect | undefined {
  const read = value as (Partial<Suspect> & EarlierSuspect) | null;
  const trait = read?.trait ?? read?.content;
  if (
    typeof trait !== 'string' ||
    typeof read?.service !== 'string' ||
    !shape.amount(read.sinceWallMs) ||
    (read.path !== undefined && typeof read.path !== 'string') ||
    !Array.isArray(read.crashes)
  ) {
    return undefined;
  }
  const { service, model, path, sinceWallMs } = read as Suspect;
  const crashes: Crash[] = [];
  for (const each of read.crashes as readonly (Partial<Crash> | null)[]) {
    const crash = readCrash(each, service);
    if (!crash) return undefined;
    crashes.push(crash);
  }
  return { trait: trait as TraitId, service, model, path, sinceWallMs, crashes };
}
