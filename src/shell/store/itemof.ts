import type { Revision } from '../../base/index.js';
import type { KeyValue } from '../../port/index.js';
import { base64 } from './base64.js';
import type { GatewayAnswers } from './gatewayanswers.js';

/** Decodes one key of an answer. */
export function itemOf(item: GatewayAnswers['item']): KeyValue {
  return {
    key: base64.decode(item.key),
    value: base64.decode(item.value ?? ''),
    revision: Number(item.mod_revision) as Revision,
  };
}
