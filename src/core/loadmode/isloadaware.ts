import type { LoadAwareSetting } from './loadawaresetting.js';

/** What a deployment says about its load. */
interface LoadTraits {
  readonly setting: LoadAwareSetting;
  /** Customers with a quota in the configuration. */
  readonly quotaCustomers: number;
  /** True once an upstream of the service has reported how long work takes there. */
  readonly reportsPace: boolean;
}

/** Fewer customers do not compete with each other. */
const MIN_COMPETING = 2;

/** Returns true if customers compete for the service's capacity or if its upstreams differ in pace. */
export function isLoadAware({ setting, quotaCustomers, reportsPace }: LoadTraits): boolean {
  if (setting !== 'auto') return setting === 'on';
  return reportsPace || quotaCustomers >= MIN_COMPETING;
}
