import type { LoadAwareSetting } from './loadawaresetting.js';

/** What a deployment says about its load. */
interface LoadTraits {
  readonly setting: LoadAwareSetting;
  /** True once an upstream of the service has reported how long work takes there. */
  readonly reportsPace: boolean;
}

/** Returns true if the setting says so, or leaves it open and the service's upstreams differ in pace. */
export function isLoadAware({ setting, reportsPace }: LoadTraits): boolean {
  return setting === 'auto' ? reportsPace : setting === 'on';
}
