/** Phase of the mapping of one key: a state of mapping.chart.json. */
export type MappingPhase = 'asking' | 'creating' | 'reading' | 'bound' | 'refused';
