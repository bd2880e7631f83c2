/** Where an upstream stands, as one entry sees it. New work goes to `ready` ones first. */
export type MemberPhase = 'joining' | 'ready' | 'suspect' | 'leaving' | 'gone';
