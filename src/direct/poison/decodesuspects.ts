import type { Crash, CrashState, Suspect } from '../../core/poison/index.js';

const STATES: ReadonlySet<unknown> = new Set<CrashState>(['open', 'explained', 'ended', 'cleared']);

function isCrash(value: Partial<Crash> | null): boolean {
  return (
    typeof value?.upstream === 'string' &&
    typeof value.runMs === 'number' &&
    typeof value.chance === 'number' &&
    typeof value.isTrial === 'boolean' &&
    STATES.has(value.state)
  );
}

function isSuspect(value: Partial<Suspect> | null): value is Suspect {
  return (
    typeof value?.content === 'string' &&
    typeof value.service === 'string' &&
    typeof value.path === 'string' &&
    typeof value.sinceWallMs === 'number' &&
    Array.isArray(value.crashes) &&
    value.crashes.every(isCrash)
  );
}

/**
 * Decodes a record of the store. Returns undefined if any part of it is malformed: every entry reads every record, so
 * a malformed one that was accepted could crash all entries.
 */
export function decodeSuspects(text: string): readonly Suspect[] | undefined {
  try {
    const { suspects } = JSON.parse(text) as { suspects?: (Partial<Suspect> | null)[] };
    return Array.isArray(suspects) && suspects.every(isSuspect) ? suspects : undefined;
  } catch {
    // Not JSON, or not an object: the caller logs it.
    return undefined;
  }
}
