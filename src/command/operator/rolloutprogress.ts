import type { Revision } from '../../base/index.js';
import type { EntryReport } from '../../shell/entries/index.js';
import type { Place } from './place.js';

/** A change to wait for. */
interface Awaited {
  readonly service: string;
  /** Region of the document; entries of other regions do not receive it. */
  readonly region: string;
  readonly revision: Revision;
}

function entryPlace(report: EntryReport, awaited: Awaited): Place {
  if (report.type === 'unreachable') {
    const { url, detail } = report;
    return { process: url, region: '', revision: 0, inForce: false, detail };
  }
  const { hostId, region, documents } = report.status;
  const revision = documents.find(({ service }) => service === awaited.service)?.revision ?? 0;
  return { process: hostId, region, revision, inForce: revision >= awaited.revision };
}

function sidecarPlaces(reports: readonly EntryReport[], awaited: Awaited): readonly Place[] {
  const newest = new Map<string, Place>();
  for (const report of reports) {
    if (report.type === 'unreachable') continue;
    const { region, upstreams } = report.status;
    for (const { service, upstream, revision, phase } of upstreams) {
      if (service !== awaited.service || phase === 'gone') continue;
      if ((newest.get(upstream)?.revision ?? -1) >= revision) continue;
      const inForce = revision >= awaited.revision;
      newest.set(upstream, { process: upstream, region, revision, inForce });
    }
  }
  return [...newest.values()];
}

/**
 * Returns whether a revision is in force at each entry of the document's region, at each unreachable entry (because its
 * region is unknown), and at each sidecar that these entries know.
 */
export function rolloutProgress(
  reports: readonly EntryReport[],
  awaited: Awaited,
): readonly Place[] {
  const concerned = reports.filter(
    (report) => report.type === 'unreachable' || report.status.region === awaited.region,
  );
  const entries = concerned.map((report) => entryPlace(report, awaited));
  return [...entries, ...sidecarPlaces(concerned, awaited)];
}
