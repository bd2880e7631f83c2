import type { Result } from 'ts-results';
import { result } from '../../base/index.js';
import type { KeyValue } from '../../port/index.js';
import { checkDocument, readDocument } from '../document/index.js';
import type { AuditEntry } from '../audit/index.js';
import type { AcceptanceFailure } from './acceptancefailure.js';
import type { AcceptanceState } from './acceptancestate.js';
import { appendEntry } from './appendentry.js';
import { decodeStored } from './decodestored.js';
import { restoreText } from './restoretext.js';
import { rejections } from './rejections.js';
import { serviceKey } from './servicekey.js';
import type { StoredService } from './storedservice.js';

/** Below the store's limit of about one megabyte, which leaves room for the key and framing. */
const VALUE_LIMIT_BYTES = 1_000_000;

/** The state with the swap to send, and the audit entries that the swap drops. */
interface Proposal {
  readonly state: AcceptanceState;
  readonly dropped: readonly AuditEntry[];
}

function wantedText(
  { change, hash }: AcceptanceState,
  before: StoredService | undefined,
): Result<{ text: string; file: string }, AcceptanceFailure> {
  const { source, service } = change;
  if (source.type === 'text') return result.Ok(source);
  if (!before) return result.Err({ type: 'service-unknown', detail: `No service ${service}.` });
  return restoreText(before, source.to, hash).map((text) => ({ text, file: `after ${source.to}` }));
}

function checked(
  { change }: AcceptanceState,
  { text, file }: { readonly text: string; readonly file: string },
  before: StoredService | undefined,
): Result<string, AcceptanceFailure> {
  const previous = before ? readDocument(before.document) : undefined;
  const { team, ownerElsewhere } = change;
  const context = { file, team, ownerElsewhere, previous: previous?.ok ? previous.val : undefined };
  const document = checkDocument(text, context);
  if (document.err) return result.Err(rejections.documentRefused(document.val));
  const { service, region } = document.val;
  if (service !== change.service) {
    const detail = `${file} is the document of service ${service}, not of ${change.service}.`;
    return result.Err({ type: 'service-unknown', detail });
  }
  if (region === change.region) return result.Ok(text);
  return result.Err(rejections.regionChanged(change, region));
}

/** Validates a change and computes its swap from the stored value that it is based on. */
export function propose(
  state: AcceptanceState,
  item: KeyValue | undefined,
): Result<Proposal, AcceptanceFailure> {
  const decoded = item ? decodeStored(item.value) : undefined;
  if (decoded?.err) return decoded;
  const before = decoded?.val;
  const wanted = wantedText(state, before);
  if (wanted.err) return wanted;
  const text = checked(state, wanted.val, before);
  if (text.err) return text;
  const { stored, entry, dropped } = appendEntry(state, before, text.val);
  const value = JSON.stringify(stored);
  if (new TextEncoder().encode(value).length > VALUE_LIMIT_BYTES) {
    const detail = `The document takes more than ${VALUE_LIMIT_BYTES} bytes with its audit entries.`;
    return result.Err({ type: 'document-too-large', detail });
  }
  const { change } = state;
  const { expectedRevision } = change;
  const swap = { key: serviceKey.of(change), expectedRevision, value };
  return result.Ok({ state: { ...state, swap, entry }, dropped });
}
