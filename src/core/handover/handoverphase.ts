/** A state of handover.chart.json. */
export type HandOverPhase = 'waiting' | 'exporting' | 'sending' | 'settled';
