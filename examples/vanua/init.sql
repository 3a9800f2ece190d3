CREATE TABLE booking (
    id INTEGER PRIMARY KEY AUTOINCREMENT,
    team TEXT NOT NULL,
    green TEXT NOT NULL,
    day TEXT NOT NULL,
    note TEXT
);
CREATE INDEX booking_team_green ON booking (team, green);
CREATE INDEX booking_team_day ON booking (team, day);
