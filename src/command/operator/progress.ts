import type { Revision } from '../../base/index.js';
import type { EntryReport } from '../../shell/entries/index.js';
import type { Place } from './place.js';

/** A change that is waited for. */
interface Awaited {
  readonly service: string;
  /** Region of the document; entries of others hold only its revision. */
  readonly region: string;
  readonly revision: Revision;
}

function entryPlace(report: EntryReport, awaited: Awaited): Place {
  if (report.type === 'unreachable') {
    const { url, detail } = report;
    return { process: url, region: '', revision: 0, inForce: false, detail };
  }
  const { hostId, region, documents, revision: highest } = report.status;
  const own = documents.find(({ service }) => service === awaited.service)?.revision ?? 0;
  const revision = region === awaited.region ? own : highest;
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

/** Where a revision is in force: at each entry, and at each sidecar that the entries know of. */
export function progress(reports: readonly EntryReport[], awaited: Awaited): readonly Place[] {
  const entries = reports.map((report) => entryPlace(report, awaited));
  return [...entries, ...sidecarPlaces(reports, awaited)];
}
