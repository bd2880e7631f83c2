import type { Caller } from '../caller.js';
import type { FoundOrigin } from '../origin/index.js';
import type { RunRecord } from './runrecord.js';

interface ResumptionFields {
  readonly resumes?: string;
  readonly headerNames?: readonly string[];
  readonly origin?: FoundOrigin['origin'];
  readonly originSource?: FoundOrigin['source'];
  readonly originAgeMs?: number;
  readonly softwareVersions?: readonly (string | undefined)[];
}

/** Returns fields for the log line of a request that resumes a stream or was sent more than once; none for others. */
export function resumptionFields(
  { resumeAfter, resumes, headers }: Caller['request'],
  { softwareVersions }: RunRecord,
  found: FoundOrigin | undefined,
): ResumptionFields {
  if (resumeAfter === undefined) return softwareVersions.length > 1 ? { softwareVersions } : {};
  const headerNames = headers.filter((_, at) => at % 2 === 0);
  const { origin, source } = found ?? {};
  const ageMs = found?.origin && found.ageMs;
  return {
    resumes,
    headerNames,
    softwareVersions,
    origin,
    originSource: source,
    originAgeMs: ageMs === undefined ? undefined : Math.round(ageMs),
  };
}
