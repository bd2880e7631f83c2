import type { KeyValue, StoreFailure } from '../../port/index.js';
import type { DocumentFailure } from '../document/index.js';
import { formatDiff, normalise } from '../text/index.js';
import type { AcceptanceFailure } from './acceptancefailure.js';
import type { AcceptanceState } from './acceptancestate.js';
import type { Change } from './change.js';
import { decodeStored } from './decodestored.js';

function conflict({ change }: AcceptanceState, item: KeyValue | undefined): AcceptanceFailure {
  const { expectedRevision, source, service } = change;
  const currentRevision = (item?.revision ?? 0) as typeof expectedRevision;
  const stored = item ? decodeStored(item.value) : undefined;
  const theirs = stored?.ok ? normalise(stored.val.document) : '';
  const diff = source.type === 'text' ? formatDiff(theirs, normalise(source.text)) : '';
  const detail = `${service} is at revision ${currentRevision}, not ${expectedRevision}; nothing was changed.`;
  const later = stored?.ok ? stored.val.audit : [];
  const since = later
    .filter(({ basedOnRevision }) => basedOnRevision >= expectedRevision)
    .map(({ changeId, who, cause }) => ({ changeId, who, cause }));
  return { type: 'revision-conflict', detail, expectedRevision, currentRevision, diff, since };
}

function documentRefused(failures: readonly DocumentFailure[]): AcceptanceFailure {
  const detail = failures.map((failure) => failure.detail).join('\n');
  return { type: 'document-refused', detail, failures };
}

function notMade(failure: StoreFailure): AcceptanceFailure {
  const detail = `Nothing was changed. ${failure.detail}`;
  return { type: 'change-not-made', detail, cause: failure.type };
}

function unknown({ change }: AcceptanceState): AcceptanceFailure {
  const { changeId, service } = change;
  const detail =
    `It is unknown whether change ${changeId} is in force. When the store answers again, ` +
    `look for it with "tarragonstile audit ${service}", or give the same change again with its id.`;
  return { type: 'outcome-unknown', detail, changeId };
}

function changeIdReused({ change }: AcceptanceState): AcceptanceFailure {
  const detail = `Change ${change.changeId} is in the audit trail with another document.`;
  return { type: 'change-id-reused', detail };
}

function regionChanged(
  { service, region }: Pick<Change, 'service' | 'region'>,
  wanted: string,
): AcceptanceFailure {
  const detail =
    `${service} is in force in ${region}, and the document names ${wanted}; nothing was changed. ` +
    `A document stays in its region; one for ${wanted} is a new one (--expect 0).`;
  return { type: 'region-changed', detail };
}

/** Builds the failures of a change, with texts for the operator. */
export const rejections = {
  conflict,
  documentRefused,
  notMade,
  unknown,
  changeIdReused,
  regionChanged,
};
