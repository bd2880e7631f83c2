import type { Result } from 'ts-results';
import { result, type Ms } from '../../base/index.js';
import { refuse } from '../../core/refusal/index.js';
import type { Refusal } from '../../wire/index.js';

const HEADER = 'tarragonstile-deadline-ms';
const MAX_DEADLINE_MS = 3_600_000;

/** Returns the deadline that the caller sets in a header, or else that of the kind of request. */
export function deadlineOf(
  headers: Readonly<Record<string, unknown>>,
  kindDeadlineMs: Ms,
): Result<Ms, Refusal> {
  const value = headers[HEADER];
  if (value === undefined) return result.Ok(kindDeadlineMs);
  const deadlineMs = Number(value);
  if (Number.isInteger(deadlineMs) && deadlineMs > 0 && deadlineMs <= MAX_DEADLINE_MS) {
    return result.Ok(deadlineMs);
  }
  const detail = `${HEADER} has to be a whole number from 1 to ${MAX_DEADLINE_MS}.`;
  return result.Err(refuse('header-malformed', detail));
}
