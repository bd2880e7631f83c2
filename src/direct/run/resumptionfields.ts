import type { Caller } from '../caller.js';
import type { RunRecord } from './runrecord.js';

interface ResumptionFields {
  readonly resumes?: string;
  readonly headerNames?: readonly string[];
  readonly softwareVersions?: readonly (string | undefined)[];
}

/** Returns fields for the log line of a request that resumes a stream or was sent more than once; none for others. */
export function resumptionFields(
  { resumeAfter, resumes, headers }: Caller['request'],
  { softwareVersions }: RunRecord,
): ResumptionFields {
  if (resumeAfter === undefined) return softwareVersions.length > 1 ? { softwareVersions } : {};
  const headerNames = headers.filter((_, at) => at % 2 === 0);
  return { resumes, headerNames, softwareVersions };
}
