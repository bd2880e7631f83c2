/** `auto`: load-aware where the deployment calls for it. */
export type LoadAwareSetting = 'auto' | 'on' | 'off';
