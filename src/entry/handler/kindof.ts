import type { Result } from 'ts-results';
import { result } from '../../base/index.js';
import type { Kind, ServiceDocument } from '../../core/document/index.js';
import { refuse } from '../../core/refusal/index.js';
import type { Refusal } from '../../wire/index.js';

const HEADER = 'tarragonstile-kind';

/** Returns the kind of request that the caller names in a header, or else the given default. */
export function kindOf(
  document: ServiceDocument,
  headers: Readonly<Record<string, unknown>>,
  fallback: string,
): Result<Kind, Refusal> {
  const wanted = headers[HEADER] ?? fallback;
  const kind = document.kinds.find(({ name }) => name === wanted);
  if (kind) return result.Ok(kind);
  return result.Err(
    refuse('kind-unknown', `The service has no kind of request "${String(wanted)}".`),
  );
}
