import { readDocument } from '../../core/document/index.js';
import type { BoardRecord } from '../../shell/board/index.js';
import { QueueAdmission, policyOf } from '../admission/index.js';
import type { Admission, Context, Residency } from '../part/index.js';

/** Creates the admission. It applies changes of the service's document without a restart. */
export function createAdmission(context: Context, residency: Residency): Admission {
  const { settings, clock, metrics, board, log, onStop } = context;
  const admission = new QueueAdmission({ clock, metrics, residency, policy: policyOf(settings) });
  const adopt = ({ key, value, sequence: revision }: BoardRecord) => {
    if (value.length === 0) return;
    const document = readDocument(value.toString());
    if (document.ok) admission.configure(policyOf(settings, document.val));
    else log.error('document cannot be read; the last good one stays', { key, revision });
  };
  const key = `document/${settings.service}`;
  const held = board.get(key);
  if (held) adopt(held);
  const unsubscribe = board.onChange(key, (record) => {
    if (record.key === key) adopt(record);
  });
  onStop(() => {
    unsubscribe();
    admission.stop();
  });
  return admission;
}
