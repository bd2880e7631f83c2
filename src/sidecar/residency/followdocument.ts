import { readDocument, type ServiceDocument } from '../../core/document/index.js';
import type { BoardRecord } from '../../shell/board/index.js';
import type { Context } from '../part/index.js';

/** Calls `adopt` with the service's document, now and after each change. An unreadable document is skipped. */
export function followDocument(
  { board, settings, log, onStop }: Context,
  adopt: (document: ServiceDocument) => void,
): void {
  const key = `document/${settings.service}`;
  const take = ({ value, sequence: revision }: BoardRecord) => {
    if (value.length === 0) return;
    const document = readDocument(value.toString());
    if (document.ok) adopt(document.val);
    else log.error('document cannot be read; the last good one stays', { key, revision });
  };
  const held = board.get(key);
  if (held) take(held);
  onStop(
    board.onChange(key, (record) => {
      if (record.key === key) take(record);
    }),
  );
}
