import type { ServiceId } from '../../base/index.js';

const PREFIX = '/tarragonstile/services/';

/** Key of the store that holds a service's document and its audit entries. */
export function serviceKey(service: ServiceId): string {
  return `${PREFIX}${service}`;
}
