/** Liveness phase of an upstream as one entry sees it. New requests go to `ready` upstreams first. */
export type MemberPhase = 'joining' | 'ready' | 'suspect' | 'leaving' | 'gone';
